"""The system-check framework that reports errors before anything runs."""
