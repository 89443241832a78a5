"""Shared vocabulary of the core: ids, effects, events, errors and checks."""
