"""Typed messages, codecs, error kinds and ports."""
