"""Least-squares fits, and CPU time relative to a reference loop."""

import dataclasses
import time

__all__ = ['Slope', 'fit_slope', 'measure_cpu_us', 'measure_reference_step_ns']

REFERENCE_STEPS = 200_000
REPEATS = 3


@dataclasses.dataclass(kw_only=True, slots=True)
class Slope:
    """A straight line fitted to measured points.

    Attributes:
        per_unit: Increase per unit of size.
        base: Value at size 0.
        spread: Largest absolute residual as a fraction of the largest value.
    """

    per_unit: float
    base: float
    spread: float


def fit_slope(points):
    """Return the least-squares ``Slope`` through (size, value) pairs."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    variance = sum((x - mean_x) ** 2 for x, _ in points)
    per_unit = covariance / variance
    base = mean_y - per_unit * mean_x
    largest = max(abs(y) for _, y in points) or 1.0
    spread = max(abs(y - base - per_unit * x) for x, y in points) / largest
    return Slope(per_unit=per_unit, base=base, spread=spread)


def measure_cpu_us(func, repeats=REPEATS):
    """Return the minimum CPU time of ``func()`` in microseconds."""
    durations_us = []
    for _ in range(repeats):
        start = time.process_time_ns()
        func()
        durations_us.append((time.process_time_ns() - start) / 1000)
    return min(durations_us)


def _run_reference():
    total = 0
    for step in range(REFERENCE_STEPS):
        total += step & 7
    return total


def measure_reference_step_ns():
    """Return the CPU time of a reference loop step in nanoseconds."""
    return measure_cpu_us(_run_reference) * 1000 / REFERENCE_STEPS
