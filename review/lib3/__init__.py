"""Stand-ins and harness of the cases of the third review."""
