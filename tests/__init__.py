"""Tests of bamboojunction, a folder for each feature."""
