"""Names, formats and clients of the platform, without scheduling logic."""
