"""Agent process that runs on each worker beside its endpoints."""
