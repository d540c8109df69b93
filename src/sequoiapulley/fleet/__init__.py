"""Membership, home assignment, entry addresses and configuration replication."""
