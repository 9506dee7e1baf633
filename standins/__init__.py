"""Stand-ins for the store, the platform and its workers."""
