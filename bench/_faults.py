"""Rack failures and rolling restarts in the placement benchmark."""

from bench import _scenario

__all__ = ['FaultInjector']

RACK_OUTAGE_S = 90
RESTART_DURATION_S = 5
DRAIN_INTERVAL_S = 10
DRAIN_TIMEOUT_S = 60


class FaultInjector:
    """Injects the faults of a scenario.

    Args:
        fleet: The ``Colocation``.
        scenario: The ``Scenario``.
    """

    def __init__(self, *, fleet, scenario):
        self._fleet = fleet
        self._scenario = scenario
        self._down_until = {}
        self._draining = {}

    def run(self):
        """Inject or end the faults that are due in this second."""
        if self._scenario.rack_lost:
            self._fail_rack()
        if self._scenario.rolling:
            self._advance_rolling_restart()
        for number, until in list(self._down_until.items()):
            if self._fleet.second >= until:
                del self._down_until[number]
                self._fleet.open_session(number)

    def _fail_rack(self):
        if self._fleet.second == self._scenario.seconds // 2:
            size = _scenario.INSTANCES_PER_RACK
            for number in range(size, 2 * size):
                self._close_for(number, RACK_OUTAGE_S)

    def _close_for(self, number, seconds):
        self._fleet.close_session(number)
        self._down_until[number] = self._fleet.second + seconds

    def _advance_rolling_restart(self):
        since = self._fleet.second - _scenario.WARM_UP_S
        number, remainder = divmod(since, DRAIN_INTERVAL_S)
        if 0 <= number < _scenario.INSTANCES and not remainder:
            self._fleet.set_draining(number, draining=True)
            self._draining[number] = self._fleet.second
        for number, since in list(self._draining.items()):
            timed_out = self._fleet.second - since > DRAIN_TIMEOUT_S
            if timed_out or self._fleet.is_empty(number):
                del self._draining[number]
                self._close_for(number, RESTART_DURATION_S)
                self._fleet.set_draining(number, draining=False)
