"""The long run: an example deployment under restarts, random faults and table edits."""
