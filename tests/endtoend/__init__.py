"""Tests with real processes, kills, freezes and outages."""
