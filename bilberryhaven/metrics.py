"""Metrics of a process, rendered in the Prometheus text format."""

import threading

import aioprometheus

__all__ = ['Metrics']

PREFIX = 'bilberryhaven_'
ACCEPTED = ['text/plain']


class Metrics:
    """Counters, gauges and histograms, made at first use.

    The library's collectors are not safe to change from several threads, so
    each change takes a lock.
    """

    def __init__(self):
        self._registry = aioprometheus.Registry()
        self._collectors = {}
        self._lock = threading.Lock()

    def count(self, name, doc, *, amount=1, **labels):
        """Add ``amount`` to a counter."""
        with self._lock:
            collector = self._find(aioprometheus.Counter, name, doc)
            collector.add(labels, amount)

    def set(self, name, doc, value, **labels):
        """Set a gauge."""
        with self._lock:
            collector = self._find(aioprometheus.Gauge, name, doc)
            collector.set(labels, value)

    def observe(self, name, doc, value, **labels):
        """Add a value, such as seconds taken, to a histogram."""
        with self._lock:
            collector = self._find(aioprometheus.Histogram, name, doc)
            collector.observe(labels, value)

    def render(self):
        """Return the (bytes, headers) of the exposition page."""
        with self._lock:
            return aioprometheus.render(self._registry, ACCEPTED)

    def _find(self, cls, name, doc):
        collector = self._collectors.get(name)
        if collector is None:
            collector = cls(PREFIX + name, doc, registry=self._registry)
            self._collectors[name] = collector
        return collector
