"""Tests mirror the layout of the product."""
