"""Tests of bamboojunction, with one folder per feature."""
