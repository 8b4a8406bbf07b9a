"""A benchmark of control traffic: the real protocol objects of many nodes under a paused clock."""
