"""Lost racks and rolling restarts of the colocation bench."""

from bench import _scenario

__all__ = ['Faults']

RACK_DOWN_S = 90
RESTART_S = 5
DRAIN_EVERY_S = 10
LONGEST_DRAIN_S = 60


class Faults:
    """Brings a scenario's faults about.

    Args:
        fleet: The ``Colocation``.
        scenario: The ``Scenario``.
    """

    def __init__(self, *, fleet, scenario):
        self._fleet = fleet
        self._scenario = scenario
        self._down = {}
        self._draining = {}

    def run(self):
        """Do what is due in this second."""
        if self._scenario.rack_lost:
            self._lose_rack()
        if self._scenario.rolling:
            self._roll()
        for number, until in list(self._down.items()):
            if self._fleet.second >= until:
                del self._down[number]
                self._fleet.open(number)

    def _lose_rack(self):
        if self._fleet.second == self._scenario.seconds // 2:
            size = _scenario.PER_RACK
            for number in range(size, 2 * size):
                self._close(number, RACK_DOWN_S)

    def _close(self, number, seconds):
        self._fleet.close(number)
        self._down[number] = self._fleet.second + seconds

    def _roll(self):
        since = self._fleet.second - _scenario.WARM_UP_S
        number, rest = divmod(since, DRAIN_EVERY_S)
        if 0 <= number < _scenario.INSTANCES and not rest:
            self._fleet.drain(number, draining=True)
            self._draining[number] = self._fleet.second
        for number, since in list(self._draining.items()):
            late = self._fleet.second - since > LONGEST_DRAIN_S
            if late or self._fleet.is_empty(number):
                del self._draining[number]
                self._close(number, RESTART_S)
                self._fleet.drain(number, draining=False)
