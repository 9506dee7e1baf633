"""Tests of the local sites."""
