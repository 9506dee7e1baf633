"""History checks of concurrent runs over real processes."""
