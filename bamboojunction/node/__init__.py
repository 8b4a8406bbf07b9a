"""The node process: the tasks that connect network input and output to the core logic."""
