"""Ownership of cells, leases of workers and the directory of endpoints."""
