"""Randomized soak test: real node processes, stand-ins and externally injected faults."""
