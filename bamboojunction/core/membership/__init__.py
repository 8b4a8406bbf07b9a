"""Membership of upstream instances: gossip, failure detection and the merged view."""
