"""A state-space search over the interleavings of the at-most-once protocol."""
