"""Jobs package."""
