"""Checks of a node's settings that look at several of them together."""
