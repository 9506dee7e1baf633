"""Local sites of real processes for developers."""
