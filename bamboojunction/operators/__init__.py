"""What operators see of a node: health and state pages."""
