"""Settings: the schema with every default, and the INI loader."""
