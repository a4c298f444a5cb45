"""Shares of callers' availability zones, as the leader applies them.

Translates waiting workflows and backend servers for the decision in
``overload.shares``, which answers the surge of one zone, and logs what it
delays. A new term starts without any credit.
"""

import collections
import dataclasses

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import log
from bilberryhaven.overload import precedence
from bilberryhaven.overload import shares

__all__ = ['CallerShares']

LOG_INTERVAL = clocks.seconds(10)
MILLICORES = 1000

_logger = log.get_logger('workflow')


class CallerShares:
    """Ledgers of the rooms for which callers of several zones compete.

    Not thread-safe: callers must hold the state machine's lock.

    Args:
        clock: The ``Clock``.
        options: The workflow ``Options``.
    """

    def __init__(self, *, clock, options):
        self._clock = clock
        self._enabled = options.shares
        self._weights = options.zone_weights
        self._pools = {}
        self.begin_term()

    def begin_term(self):
        """Forget all credit."""
        self._ledgers = {}
        self._logged = collections.defaultdict(set)
        self._logged_at = {}
        self._served = collections.Counter()

    def observe(self, servers):
        """Measure the memory and accelerators of the pools.

        Args:
            servers: The ``Server`` rows.
        """
        self._pools = {}
        for server in servers:
            if server.open:
                memory, gpu = self._pools.get(server.pool, (0, 0))
                self._pools[server.pool] = (
                    memory + server.memory_mb,
                    gpu + server.gpu,
                )

    def record_ends(self, views, ends, wall):
        """Count the work of tasks that have been done, by zone.

        Args:
            views: ``RunView`` by run, all that the log assigns to the server.
            ends: The ``RunEnd`` rows.
            wall: Unix time in seconds.
        """
        for end in ends:
            view = views.get(end.run)
            if view is not None and end.how == workflow_commands.DONE:
                room_key = (view.row.pool, view.step.best_effort)
                cpu_s = view.step.cpu * max(0.0, wall - view.ordered_at)
                self._served[room_key, view.row.zone] += cpu_s

    def choose_ranks(self, room_key, competing, rate, now, list_run_times):
        """Return the ranks of workflows that compete for the same room.

        Args:
            room_key: Pool, and whether the work is best-effort.
            competing: (``Occurrence``, ``Need``) pairs by key.
            rate: CPU that the work gets in total.
            now: Unix time in seconds.
            list_run_times: Function that returns the expected run times of a
                task of a workflow, in seconds, by step.

        Returns:
            The ranks by key.
        """
        needs = {key: need for key, (_, need) in competing.items()}
        zones = {item.row.zone for item, _ in competing.values()}
        if not self._enabled or not shares.are_divided(zones):
            self._ledgers.pop(room_key, None)
            return precedence.choose_ranks(needs, rate, now)
        ledger = self._ledgers.get(room_key)
        if ledger is None:
            ledger = shares.ShareLedger(weights=self._weights)
            self._ledgers[room_key] = ledger
        memory, gpu = self._pools.get(room_key[0], (0, 0))
        ranks = shares.choose_ranks(
            needs,
            {
                key: _build_request(item, list_run_times(item.row))
                for key, (item, _) in competing.items()
            },
            shares.Room(cpu=rate, memory=memory, gpu=gpu),
            now,
            ledger,
        )
        self._log_delays(room_key, ledger, competing)
        self._log_shares(room_key, ledger)
        return ranks

    def _log_delays(self, room_key, ledger, competing):
        logged = self._logged[room_key]
        logged.intersection_update(competing)
        for key, delay in ledger.delays.items():
            if key in logged:
                continue
            logged.add(key)
            row = competing[key][0].row
            log.log_decision(
                _logger,
                'delay workflow',
                reason=delay.reason,
                workflow=row.id,
                queue=row.queue,
                zone=delay.zone,
                behind=list(delay.behind),
            )

    def _log_shares(self, room_key, ledger):
        now = self._clock.monotonic()
        rows = ledger.report()
        logged_at = self._logged_at.get(room_key)
        recent = logged_at is not None and now - logged_at < LOG_INTERVAL
        if not rows or recent:
            return
        self._logged_at[room_key] = now
        pool, best_effort = room_key
        _logger.info(
            'shares of callers',
            extra={
                'pool': pool,
                'best_effort': best_effort,
                'zones': {
                    zone: self._describe(room_key, zone, row)
                    for zone, row in rows.items()
                },
            },
        )

    def _describe(self, room_key, zone, row):
        """Return log fields of a ``ZoneShare``."""
        served = self._served.pop((room_key, zone), 0.0) / MILLICORES
        fields = dataclasses.asdict(row) | {'served_cpu_s': served}
        return {name: round(value, 3) for name, value in fields.items()}


def _build_request(item, seconds):
    """Return the ``Request`` of an ``Occurrence``.

    Args:
        item: The ``Occurrence``.
        seconds: Run times of a task by step.
    """
    task_s = [
        count * step_s
        for count, step_s in zip(item.undone, seconds, strict=True)
    ]
    steps = list(zip(item.row.steps, task_s, strict=True))
    return shares.Request(
        zone=item.row.zone,
        queue=item.row.queue,
        memory=sum(step.memory_mb * step_s for step, step_s in steps),
        gpu=sum(step.gpu * step_s for step, step_s in steps),
    )
