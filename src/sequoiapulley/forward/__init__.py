"""Forwarding of callers' HTTP requests on configured routes to upstreams."""
