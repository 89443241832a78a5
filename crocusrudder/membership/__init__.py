"""Cell ownership, worker leases and the endpoint directory."""
