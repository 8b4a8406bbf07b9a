"""Stand-ins and process control that the cases of the review share; standard library only."""
