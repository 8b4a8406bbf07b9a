"""Detection and quarantine of poison requests, which crash upstreams."""
