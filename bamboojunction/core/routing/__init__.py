"""The choice of an upstream for each attempt, ejection and spill."""
