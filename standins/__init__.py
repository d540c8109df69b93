"""Small stand-ins for the platform and the upstreams, for tests, benchmarks and the demo."""
