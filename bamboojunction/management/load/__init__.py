"""A bounded load of calls: what to send, sending it, and what came back."""
