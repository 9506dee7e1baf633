"""Tests of daemons under clients that exceed the limits."""
