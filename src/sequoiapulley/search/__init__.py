"""Scatter and gather: plans, snapshots, coverage and merged answers."""
