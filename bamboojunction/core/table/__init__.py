"""The operators' table: rows, parsing, versions and deltas."""
