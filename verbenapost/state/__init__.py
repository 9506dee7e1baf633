"""Immutable records, their stored form and views of them."""
