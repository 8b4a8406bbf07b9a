"""Overload control for service call graphs, with one node beside each upstream instance."""

__version__ = "0.1.0"
