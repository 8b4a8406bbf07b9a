"""The command-line programs and what they share."""
