"""The bounds of the invariants, as the users' rules state them; times are in seconds."""

# A machine is in touch once it has been without disturbance for so long.
CONTACT_SECONDS = 3.0
# A configuration is in force this long after its acknowledgement, a reload after its signal.
CONFIGURATION_SECONDS = 2.0
CHANGE_SLACK_SECONDS = 1.0
# Beside a configuration, cuts count if they are this many times as frequent as at other times, and
# only of requests that have used less than this share of their time.
CHANGE_CUT_RATIO = 3.0
CHANGE_TIME_SHARE = 0.7
# A request that was not passed on counts as lost only this long after it was sent.
LOSS_SLACK_SECONDS = 0.2
# Closed connections of nodes in touch, in a run.
CLOSED_MAX = 3
# A cut is excused in the last sixth of a stop's grace time, if the request was sent within the
# first seconds of the stop.
GRACE_SECONDS = 6.0
EXCUSED_AFTER_SECONDS = GRACE_SECONDS * 5 / 6
EXCUSED_SENT_SECONDS = 3.0
STOP_SLACK_SECONDS = 1.0
# Of the requests that are unanswered at their route's timeout, a share may be so this long after.
OVERDUE_SECONDS = 0.5
OVERDUE_SHARE_MAX = 1 / 2
OVERDUE_MANY = 8
OVERDUE_SHARE_OF_MANY_MAX = 1 / 4
# A run is late when its upstream is given more time than the deadline leaves, beyond a tolerance.
# Late runs violate the invariant when they exceed both the number and the share.
DEADLINE_TOLERANCE_SECONDS = 0.5
LATE_RUNS_MAX = 20
LATE_SHARE_MAX = 0.2
# Requests that ran on more upstreams than the attempts of their route.
ATTEMPTS_EXCEEDED_MAX = 3
# The limit on repeats of a service, summed over all nodes, in any window.
REPEAT_RATIO = 0.2
REPEAT_SLACK = 48
REPEAT_WINDOW_SECONDS = 10.0
# A request that crashes its upstreams may reach some more after the third crash.
CRASHES_KNOWN = 3
CRASHING_RETRIES_MAX = 3
CRASHES_MAX = CRASHES_KNOWN + CRASHING_RETRIES_MAX
DRAIN_GRACE_SECONDS = 2.0
# A node that has run so long has served a request.
START_SECONDS = 15.0
