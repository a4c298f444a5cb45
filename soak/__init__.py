"""Randomized soak of the real processes on loopback, with injected faults."""
