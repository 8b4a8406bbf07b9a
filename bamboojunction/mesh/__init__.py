"""The node on the users' platform: one process beside each upstream."""
