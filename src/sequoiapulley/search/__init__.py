"""Scatter-gather searches: plans, snapshots, coverage and merged answers."""
