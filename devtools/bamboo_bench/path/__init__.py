"""The bench of the running path: real processes, with and without the layer between them."""
