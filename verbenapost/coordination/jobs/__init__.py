"""Placement of accepted jobs on the workers of a pool."""
