"""Stand-ins (test doubles) of the platform and the upstreams for tests, benchmarks and the demo."""
