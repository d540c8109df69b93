"""Non-idempotent requests: claims, outcomes and callers' repeats."""
