"""Schedule colocated latency-critical and batch work."""
