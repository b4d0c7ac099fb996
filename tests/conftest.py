"""Hypothesis settings: property tests use the same examples on every machine and have no deadline."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, max_examples=200)
settings.load_profile("same")
