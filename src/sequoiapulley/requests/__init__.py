"""Non-idempotent requests: claims, outcomes and retries of callers."""
