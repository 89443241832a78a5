"""Messages between the processes and their transport."""
