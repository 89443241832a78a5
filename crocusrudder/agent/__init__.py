"""The agent process beside the endpoints of a worker."""
