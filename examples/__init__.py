"""Local sites for developers."""
