"""Demo package."""
