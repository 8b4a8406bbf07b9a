"""Names of the HTTP headers between callers and nodes."""

KIND = "Bamboo-Kind"
SERVICE = "Bamboo-Service"
DEADLINE_MS = "Bamboo-Deadline-Ms"
KEY = "Bamboo-Key"
ACTION = "Bamboo-Action"
ALLOWANCE = "Bamboo-Allowance"
ATTEMPT = "Bamboo-Attempt"
CALL = "Bamboo-Call"
STEP = "Bamboo-Step"
TRACEPARENT = "traceparent"

OUTCOME = "Bamboo-Outcome"
REASON = "Bamboo-Reason"
RETRY_AFTER_MS = "Bamboo-Retry-After-Ms"
HOME = "Bamboo-Home"
ALLOWANCE_LEFT = "Bamboo-Allowance-Left"

# Prefix of the headers that only the node sets; those that a caller sends are not forwarded.
NODE_HEADER_PREFIX = "bamboo-"
