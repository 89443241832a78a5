"""Fakes shared by the tests: a network, a store and clocks around real process cores."""
