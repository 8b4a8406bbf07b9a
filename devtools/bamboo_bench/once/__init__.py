"""A model checker for the at-most-once protocol, and a benchmark of its cost."""
