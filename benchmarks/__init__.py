"""Benchmarks package."""
