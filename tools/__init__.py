"""Tools package."""
