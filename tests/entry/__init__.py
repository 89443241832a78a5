"""Entry package."""
