"""Placement policy: interference, scoring, quotas and failure attribution."""
