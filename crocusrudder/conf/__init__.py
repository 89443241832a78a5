"""Settings of the processes: JSON files, defaults and checks."""
