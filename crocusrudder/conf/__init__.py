"""Settings of the entry and agent processes: JSON files, defaults and checks."""
