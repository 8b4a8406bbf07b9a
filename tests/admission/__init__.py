"""Tests of the admission at the gate."""
