"""Operator tools: health and state pages, table edits and rollouts, request explanation."""
