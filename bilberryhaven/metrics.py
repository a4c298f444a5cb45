"""Metrics of a process in the Prometheus text format."""

import threading

import aioprometheus

from bilberryhaven.wire import intake

__all__ = ['Metrics']

PREFIX = 'bilberryhaven_'
ACCEPTED = ['text/plain']


class Metrics:
    """Counters, gauges and histograms, created at first use.

    The library's collectors are not thread-safe, so each update takes a lock.
    """

    def __init__(self):
        self._registry = aioprometheus.Registry()
        self._collectors = {}
        self._lock = threading.Lock()

    def count(self, name, doc, *, amount=1, **labels):
        """Add ``amount`` to a counter."""
        with self._lock:
            collector = self._get_collector(aioprometheus.Counter, name, doc)
            collector.add(labels, amount)

    def set(self, name, doc, value, **labels):
        """Set a gauge."""
        with self._lock:
            collector = self._get_collector(aioprometheus.Gauge, name, doc)
            collector.set(labels, value)

    def observe(self, name, doc, value, **labels):
        """Add a value, such as a duration in seconds, to a histogram."""
        with self._lock:
            collector = self._get_collector(aioprometheus.Histogram, name, doc)
            collector.observe(labels, value)

    def render(self):
        """Return the exposition page as a (body bytes, headers) pair."""
        self._set_intake(intake.PROCESS)
        with self._lock:
            return aioprometheus.render(self._registry, ACCEPTED)

    def _set_intake(self, process):
        self.set(
            'input_kept_bytes',
            'Estimated memory of the requests that are at hand.',
            process.kept_bytes,
        )
        for reason, count in process.refusals.items():
            self.set(
                'input_refusals',
                'Requests and connections refused or closed since the start.',
                count,
                reason=reason,
            )

    def _get_collector(self, cls, name, doc):
        collector = self._collectors.get(name)
        if collector is None:
            collector = cls(PREFIX + name, doc, registry=self._registry)
            self._collectors[name] = collector
        return collector
