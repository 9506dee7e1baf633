"""Clients of other processes, peer streams and the app for callers."""
