"""Randomized soak test of the processes on loopback, with fault injection."""
