"""Membership package."""
