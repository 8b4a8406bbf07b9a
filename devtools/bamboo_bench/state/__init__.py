"""Measures what control costs, with real protocol objects of many nodes under a paused clock."""
