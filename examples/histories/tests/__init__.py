"""Tests of the history checks."""
