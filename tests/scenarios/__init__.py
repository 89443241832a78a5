"""Scenarios package."""
