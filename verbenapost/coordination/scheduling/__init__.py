"""Decisions on jobs with steps, without sockets and clocks."""
