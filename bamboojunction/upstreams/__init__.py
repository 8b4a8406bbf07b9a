"""The HTTP clients for the local upstream."""
