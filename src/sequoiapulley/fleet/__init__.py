"""Membership, homes, entry addresses and the spread of configuration."""
