"""Records package."""
