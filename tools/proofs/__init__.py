"""Mutation checks: disable each safety mechanism and check that its tests fail."""
