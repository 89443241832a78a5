"""Experiment package."""
