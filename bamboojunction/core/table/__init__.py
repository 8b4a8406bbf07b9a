"""The operators' table of limits: rows, parsing, validation, versions and deltas."""
