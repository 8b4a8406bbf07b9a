"""The policy bench: a discrete-event simulation that drives the decision classes of the core."""
