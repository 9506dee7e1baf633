"""Benchmarks of the daemons and of their coordination classes."""
