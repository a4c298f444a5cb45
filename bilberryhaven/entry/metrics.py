"""Metrics of an entry."""

import threading

import aioprometheus
from aioprometheus import renderer

__all__ = ['Metrics']

BUCKETS = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0)


class Metrics:
    """Counters of requests, in a registry of their own."""

    def __init__(self):
        self._lock = threading.Lock()
        self.registry = aioprometheus.Registry()
        self._answers = aioprometheus.Counter(
            'bilberryhaven_entry_answers_total',
            'Answers to callers by code and outcome.',
            registry=self.registry,
        )
        self._dispatches = aioprometheus.Counter(
            'bilberryhaven_entry_dispatches_total',
            'Attempts sent to agents.',
            registry=self.registry,
        )
        self._seconds = aioprometheus.Histogram(
            'bilberryhaven_entry_request_seconds',
            'Time from arrival to answer.',
            registry=self.registry,
            buckets=BUCKETS,
        )
        self._pending = aioprometheus.Gauge(
            'bilberryhaven_entry_pending',
            'Requests in progress.',
            registry=self.registry,
        )

    def count_answer(self, answer, elapsed):
        """Count an answer that took ``elapsed``, a timedelta."""
        error = answer.error
        labels = {
            'code': error.code if error else 'ok',
            'outcome': str(error.outcome) if error else 'ran',
        }
        with self._lock:
            self._answers.inc(labels)
            self._seconds.observe({}, elapsed.total_seconds())

    def count_dispatch(self):
        """Count an attempt."""
        with self._lock:
            self._dispatches.inc({})

    def render(self, *, pending):
        """Return the exposition as bytes, with its headers."""
        with self._lock:
            self._pending.set({}, pending)
            return renderer.render(self.registry, [])
