"""Types shared by all packages: ids, effects, events, errors and checks."""
