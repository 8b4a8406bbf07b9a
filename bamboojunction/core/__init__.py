"""Decision logic without I/O: callers pass in messages and the time, and act on the results."""
