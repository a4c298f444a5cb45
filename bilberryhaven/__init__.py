"""Scheduler for latency-critical and batch work on shared instances."""

__all__ = ['__version__']

__version__ = '0.1.0'
