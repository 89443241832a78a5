"""Messages between processes, their encoding and their transport."""
