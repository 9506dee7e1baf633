"""Tests of VM pools."""
