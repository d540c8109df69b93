"""Maintenance programs: the test runner and the renderers of generated pages."""
