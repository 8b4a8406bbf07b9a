"""The HTTP client towards the upstream beside the node."""
