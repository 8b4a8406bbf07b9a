"""At-most-once calls: action keys, homes, gate records and sealing."""
