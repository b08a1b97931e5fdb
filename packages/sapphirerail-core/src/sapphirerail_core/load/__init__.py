"""Load: limits, slow start and shedding."""
