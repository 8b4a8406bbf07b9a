"""The node process: the tasks that connect the sockets to the decisions."""
