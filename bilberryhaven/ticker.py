"""Actor that calls a function at a fixed interval."""

import contextlib
import threading

import pykka

from bilberryhaven import log

__all__ = ['Ticker']

_logger = log.get_logger('ticker')


class Ticker(pykka.ThreadingActor):
    """Calls a function, waits for the rest of the interval, and repeats.

    A call that takes longer than the interval delays the next one; calls
    never pile up. A failed call is logged and the next one still comes.
    """

    use_daemon_thread = True

    def __init__(self, *, name, func, interval, clock):
        """Make a ticker.

        Args:
            name: What it does, for logs.
            func: Called without arguments.
            interval: Time between the starts of two calls, a timedelta.
            clock: The ``Clock``.
        """
        super().__init__()
        self._name = name
        self._func = func
        self._interval = interval
        self._clock = clock
        self._stopping = threading.Event()

    @classmethod
    def launch(cls, **kwargs):
        """Start a ticker and return a function that stops it."""
        ref = cls.start(**kwargs)
        stopping = ref.proxy().get_stopping_event().get()
        ref.tell(None)

        def stop():
            stopping.set()
            ref.stop(block=False)

        return stop

    def get_stopping_event(self):
        """Return the event that ends the wait between two calls."""
        return self._stopping

    def on_receive(self, message):
        """Make one call and order the next."""
        start = self._clock.monotonic()
        try:
            self._func()
        except Exception:  # noqa: BLE001
            if not self._stopping.is_set():
                _logger.exception('{} failed', self._name)
        taken = self._clock.monotonic() - start
        rest = (self._interval - taken).total_seconds()
        if not self._stopping.wait(max(rest, 0.0)):
            with contextlib.suppress(pykka.ActorDeadError):
                self.actor_ref.tell(None)
