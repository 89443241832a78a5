"""Comparison of the placement policy with baselines and an oracle on simulated workers."""
