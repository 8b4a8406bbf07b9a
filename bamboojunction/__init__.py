"""An overload control layer for service call graphs: one node beside each upstream instance."""

__version__ = "0.1.0"
