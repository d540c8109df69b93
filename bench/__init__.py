"""Benchmarks: each module is one command; `bench.run_all` runs them all."""
