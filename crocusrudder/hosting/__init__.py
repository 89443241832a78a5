"""Event loop, HTTP server and shared set-up of the entry and agent processes."""
