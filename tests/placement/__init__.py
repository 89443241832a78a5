"""Placement package."""
