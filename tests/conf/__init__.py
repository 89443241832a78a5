"""Conf package."""
