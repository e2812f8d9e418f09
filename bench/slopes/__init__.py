"""Measurements of how costs grow with load, fleet size and document size."""
