"""The operators' text and the daemon's settings, with their checks."""
