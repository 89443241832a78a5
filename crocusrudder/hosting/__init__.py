"""The event loop around a process core."""
