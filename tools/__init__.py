"""Maintenance programs: the test runner, mutation checks and generators of pages and examples."""
