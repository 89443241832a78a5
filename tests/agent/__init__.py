"""Agent package."""
