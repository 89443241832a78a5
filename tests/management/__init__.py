"""Management package."""
