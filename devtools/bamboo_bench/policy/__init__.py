"""The policy bench: drives the decision classes with small fakes under a virtual clock."""
