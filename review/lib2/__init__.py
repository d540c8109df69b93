"""Test bed that the cases of the second review share; it needs only the standard library."""
