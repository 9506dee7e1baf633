"""Typed messages, their codec, error kinds and port interfaces."""
