"""Versioned placement records and their replication."""
