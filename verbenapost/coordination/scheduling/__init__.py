"""Scheduling of jobs with steps: pure decisions, no I/O and no clock."""
