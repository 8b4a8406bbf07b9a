"""Load generation: the plan of calls, the client that sends them and the summary of results."""
