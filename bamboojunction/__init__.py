"""An overload control layer for service call graphs: one node beside each upstream instance."""
