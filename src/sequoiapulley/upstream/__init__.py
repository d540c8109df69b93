"""Dispatch to upstreams: connections, limits, hedging, health and quarantine of requests."""
