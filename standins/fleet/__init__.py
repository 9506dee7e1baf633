"""Simulated platform for jobs with steps, in virtual time."""
