"""Decisions without sockets or clocks."""
