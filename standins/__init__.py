"""Stand-ins for the platform and its workers."""
