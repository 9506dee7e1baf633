"""At-most-once claims of requests that carry an idempotency key."""
