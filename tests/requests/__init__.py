"""Requests package."""
