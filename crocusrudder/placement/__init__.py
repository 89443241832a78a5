"""Placement policy: interference, scoring, quotas and blame."""
