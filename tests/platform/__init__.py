"""Platform package."""
