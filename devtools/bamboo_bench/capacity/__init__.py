"""A benchmark that measures the figures of docs/CAPACITY.md."""
