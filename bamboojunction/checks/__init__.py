"""Checks of a node's settings that depend on one another."""
