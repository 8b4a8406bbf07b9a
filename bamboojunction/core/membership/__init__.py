"""The view of which upstream instances exist."""
