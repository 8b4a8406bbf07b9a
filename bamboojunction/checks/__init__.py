"""Checks for conflicts between a node's settings."""
