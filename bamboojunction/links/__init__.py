"""WebSocket links between nodes and the messages that they carry."""
