"""The chain-wide retry allowance and the retry budget of each service."""
