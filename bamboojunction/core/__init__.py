"""Decisions without input or output: messages in, outcomes out, time passed in."""
