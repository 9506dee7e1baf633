"""Sockets, HTTP, peer streams and the store client."""
