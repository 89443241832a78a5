"""Stand-ins for the platform and an example endpoint, for tests and the demo only."""
