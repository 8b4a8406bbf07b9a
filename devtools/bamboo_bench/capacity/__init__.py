"""The slopes that docs/CAPACITY.md is worked out from."""
