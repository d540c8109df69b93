"""Stand-ins and helpers of the review's cases; they need only Python's standard library."""
