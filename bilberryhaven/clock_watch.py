"""Notices pauses of the process and steps of its time of day, for logs."""

from bilberryhaven import clock as clocks
from bilberryhaven import log

__all__ = ['INTERVAL', 'ClockWatch']

INTERVAL = clocks.seconds(0.5)
# How much later than due a call is taken for a pause.
MIN_PAUSE = clocks.seconds(0.5)
# How far the time of day may move against the steady clock between two calls.
MIN_STEP = clocks.seconds(0.2)

_logger = log.get_logger('clock')


class ClockWatch:
    """Compares the clocks at each call; it changes nothing.

    A process that was stopped, starved of processor time or suspended with
    its instance is called late. Lines on each of the two are written once a
    second at most.

    Args:
        clock: The ``Clock``.
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._log = log.BoundedLog(logger=_logger, clock=clock)
        self._called_at = clock.monotonic()
        self._wall = clock.wall()

    def tick(self):
        """Log a pause or a step since the last call."""
        now, wall = self._clock.monotonic(), self._clock.wall()
        passed = now - self._called_at
        step = (wall - self._wall) - passed
        self._called_at, self._wall = now, wall
        if passed >= INTERVAL + MIN_PAUSE:
            self._log.warning(
                'pause',
                'process did not run',
                decision='notice pause',
                pause_s=log.round_seconds(passed - INTERVAL),
            )
        if abs(step) >= MIN_STEP:
            self._log.warning(
                'step',
                'time of day has stepped against the steady clock',
                decision='notice clock step',
                step_s=log.round_seconds(step),
            )
