"""Tests of the hosting package."""
