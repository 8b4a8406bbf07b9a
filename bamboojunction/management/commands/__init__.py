"""One module for each command-line program."""
