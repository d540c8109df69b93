"""The HTTP ports for callers and for operators."""
