"""Observability package."""
