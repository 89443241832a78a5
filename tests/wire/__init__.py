"""Wire package."""
