"""Admission at the gate: the adaptive limit, the rank queue and shedding."""
