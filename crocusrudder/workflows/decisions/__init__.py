"""Scheduling decisions: pure code, each module for one concern and the load pattern it answers."""
