"""Actor that calls a function at a fixed interval."""

import contextlib
import threading

import pykka

from bilberryhaven import log

__all__ = ['Ticker']

# Pause after a call that failed, also if calls otherwise follow at once.
RETRY_DELAY_S = 0.1

_logger = log.get_logger('ticker')


class Ticker(pykka.ThreadingActor):
    """Calls a function at a fixed interval.

    A call that takes longer than the interval delays the next one; calls
    never queue up. A call that raises an exception is logged and does not
    stop the ticker.
    """

    use_daemon_thread = True

    def __init__(self, *, name, func, interval, clock):
        """Create a ticker.

        Args:
            name: Description of the function, for logs.
            func: Function that is called without arguments.
            interval: Time between the starts of two calls, a timedelta.
            clock: Source of time.
        """
        super().__init__()
        self._name = name
        self._func = func
        self._interval = interval
        self._clock = clock
        self._stopping = threading.Event()
        self._log = log.BoundedLog(logger=_logger, clock=clock)

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
        """Call the function once and schedule the next call."""
        start = self._clock.monotonic()
        shortest_wait_s = 0.0
        try:
            self._func()
        except Exception:  # noqa: BLE001
            shortest_wait_s = RETRY_DELAY_S
            if not self._stopping.is_set():
                self._log.exception(self._name, f'{self._name} failed')
        elapsed = self._clock.monotonic() - start
        remaining_s = (self._interval - elapsed).total_seconds()
        if not self._stopping.wait(max(remaining_s, shortest_wait_s)):
            with contextlib.suppress(pykka.ActorDeadError):
                self.actor_ref.tell(None)
