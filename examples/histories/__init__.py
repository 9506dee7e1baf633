"""Checks of recorded histories of real processes under load and faults."""
