"""A soak test: real node processes under load and seeded faults, with invariants checked."""
