"""The WebSocket links between nodes and their messages."""
