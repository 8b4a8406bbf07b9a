"""The adapter of the users' platform: its names, formats and calls."""
