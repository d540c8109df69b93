"""Upstreams: connections, limits, hedges, health and quarantined requests."""
