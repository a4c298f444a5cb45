"""Room of the pools as the leader sees it, for decisions under overload.

Translates the views of servers and workflows for the forecasts. They answer
surges, the swing of the spare CPU, withdrawn zones and outages. A new term
starts without any measurement.
"""

import collections

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.overload import forecast
from bilberryhaven.overload import precedence
from bilberryhaven.workflow import server_cost

__all__ = ['RoomTracker']

# Best-effort tasks that wait longer have found no room.
MIN_WAIT_S = 1.0
# Time between two observations, and the age at which a backlog is summed up
# again.
INTERVAL = clocks.seconds(0.5)


class RoomTracker:
    """Forecasts by pool.

    Not thread-safe: callers must hold the state machine's lock.

    Args:
        index: The ``WorkflowIndex``.
        ranker: The ``ValueRanker``.
        clock: The ``Clock``.
        options: The workflow ``Options``.

    Attributes:
        rates: CPU that competing work gets in total, by ``room_key``, as far
            as it is known.
    """

    def __init__(self, *, index, ranker, clock, options):
        self._index = index
        self._ranker = ranker
        self._clock = clock
        self._options = options
        self.begin_term()

    def begin_term(self):
        """Forget all measurements."""
        self.rates = {}
        self._started_at = self._clock.monotonic()
        self._observed_at = None
        self._forecasters = {}
        self._forecasts = {}

    def observe(self, servers):
        """Measure the room unless it was measured a short time ago.

        Args:
            servers: The ``Server`` rows.
        """
        now = self._clock.monotonic()
        if self._observed_at is not None and now < (
            self._observed_at + INTERVAL
        ):
            return
        self._observed_at = now
        full = self._list_full_pools()
        by_pool = collections.defaultdict(list)
        for server in servers:
            described = _describe_server(server, full=server.pool in full)
            by_pool[server.pool].append(described)
        self.rates = {}
        seconds = now.total_seconds()
        for pool in by_pool.keys() | self._forecasters.keys():
            forecaster = self._get_forecaster(pool)
            forecaster.observe(by_pool[pool], seconds)
            found = forecaster.build(forecast.Backlog(), seconds)
            if found.measured:
                if self._options.chooses_best_effort:
                    self.rates[pool, True] = found.best_effort_rate
                if self._options.chooses_claims:
                    self.rates[pool, False] = found.claim_rate

    def _list_full_pools(self):
        """Return the pools in which best-effort tasks wait for room."""
        latest = self._clock.wall().timestamp() - MIN_WAIT_S
        return {
            group.row.pool
            for groups in self._index.groups.values()
            for group in groups
            if group.step.best_effort and group.due_at <= latest
        }

    def record_ends(self, views, ends, wall):
        """Measure the work of tasks that have been done.

        Args:
            views: ``RunView`` by run, all that the log assigns to the server.
            ends: The ``RunEnd`` rows.
            wall: Unix time in seconds.
        """
        for end in ends:
            view = views.get(end.run)
            if view is None or end.how != workflow_commands.DONE:
                continue
            self._get_forecaster(view.row.pool).record_end(
                view.step.cpu * max(0.0, wall - view.ordered_at),
                self._clock.monotonic().total_seconds(),
                best_effort=view.step.best_effort,
            )

    def get_limits(self, pool):
        """Return the ``Limits`` of a pool's servers."""
        return self._get_forecaster(pool).limits

    def get_forecast(self, pool):
        """Return the ``Forecast`` of a pool."""
        now = self._clock.monotonic().total_seconds()
        found = self._forecasts.get(pool)
        if found is None or now >= found.built_at + INTERVAL.total_seconds():
            backlog = forecast.Backlog(
                self._list_waiting(pool), weights=self._options.zone_weights
            )
            found = self._get_forecaster(pool).build(backlog, now)
            self._forecasts[pool] = found
        return found

    def _get_forecaster(self, pool):
        found = self._forecasters.get(pool)
        if found is None:
            started_at = self._started_at.total_seconds()
            found = forecast.Forecaster(started_at=started_at)
            self._forecasters[pool] = found
        return found

    def _list_waiting(self, pool):
        now = self._clock.wall().timestamp()
        for item in self._index.list_occurrences():
            if item.row.pool == pool and not item.long_running:
                need = self._ranker.find_need(item)
                yield forecast.Waiting(
                    priority=item.row.priority,
                    rank=precedence.find_rank(need, now),
                    work=need.work,
                    best_effort=item.best_effort,
                    zone=item.row.zone if self._options.shares else '',
                )


def _describe_server(server, *, full):
    """Return the ``ServerRoom`` of a ``Server``.

    While best-effort tasks wait, those that run show how much room there is;
    tail latencies often allow less of them than there is idle CPU. What they
    request counts even if they get less, since their run times are longer
    then.
    """
    best_effort_cpu = server.best_effort_cpu
    if not full and server.satisfaction >= server_cost.MIN_SATISFACTION:
        best_effort_cpu += max(0, server.spare_cpu)
    return forecast.ServerRoom(
        open=server.open,
        cpu=server.cpu,
        memory_mb=server.memory_mb,
        gpu=server.gpu,
        labels=server.labels,
        standing_cpu=server.serving_cpu,
        best_effort_cpu=best_effort_cpu,
    )
