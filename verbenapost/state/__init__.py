"""Frozen records and views."""
