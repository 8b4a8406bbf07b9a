"""Retry decisions: the allowance of an action across its call chain, and retry budgets."""
