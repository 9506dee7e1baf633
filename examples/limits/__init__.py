"""Real daemons under clients that exceed the limits."""
