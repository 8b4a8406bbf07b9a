"""Load balancing: the choice of an upstream for each attempt, outlier ejection and spillover."""
