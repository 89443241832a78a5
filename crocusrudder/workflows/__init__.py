"""Scheduling of multi-stage jobs on leased workers by one owner at a time."""
