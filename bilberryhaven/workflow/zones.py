"""Withdrawal of availability zones on the leader.

An operator withdraws a zone in which something is about to fail, or is being
repaired, while callers keep submitting workflows: from the acknowledgement
on, no run is started there, and what runs there is left to end. The state of
the zones is in the replicated tables, so that it outlives any leader.
"""

from bilberryhaven import clock as clocks
from bilberryhaven.commands import zone as zone_commands
from bilberryhaven import log
from bilberryhaven.workflow import message

__all__ = ['ZoneMonitor', 'ZoneRequestHandler', 'count_runs']

# Interval at which the runs left in a withdrawn zone are logged.
LOG_INTERVAL = clocks.seconds(10)

_logger = log.get_logger('workflow')


class ZoneRequestHandler:
    """Handles the orders of operators on availability zones.

    An order is acknowledged once it is committed. One that is sent again,
    because its acknowledgement was lost, is acknowledged again.

    Args:
        leader: The ``Dispatcher``.
        clock: The ``Clock``.
        orders: The ``ZoneOrders``.
    """

    def __init__(self, *, leader, clock, orders):
        self._leader = leader
        self._clock = clock
        self._orders = orders

    def withdraw(self, request, relayed):
        """Withdraw an availability zone.

        Args:
            request: The ``Withdraw`` message.
            relayed: The ``Relayed`` message that it came with.

        Returns:
            The ``ZoneReply``.

        Raises:
            NotFoundError: There is no such availability zone.
            NotLeaderError: This instance is not the leader.
            OutdatedError: It may be older than the last order on the zone.
        """
        self._apply(zone_commands.WithdrawZone, request.zone, relayed)
        return message.ZoneReply(withdrawn=True)

    def restore(self, request, relayed):
        """End the withdrawal of an availability zone.

        Args:
            request: The ``Restore`` message.
            relayed: The ``Relayed`` message that it came with.

        Returns:
            The ``ZoneReply``.

        Raises:
            NotFoundError: There is no such availability zone.
            NotLeaderError: This instance is not the leader.
            OutdatedError: It may be older than the last order on the zone.
        """
        self._apply(zone_commands.RestoreZone, request.zone, relayed)
        return message.ZoneReply(withdrawn=False)

    def _apply(self, kind, zone, relayed):
        command = kind(zone=zone, at=self._clock.wall().timestamp())
        self._orders.commit(self._leader, command, relayed=relayed)
        self._leader.wake()


class ZoneMonitor:
    """Informs agents of withdrawn zones, and logs what still runs there.

    Args:
        memory: The ``LeaderMemory``.
        clock: The ``Clock``.
    """

    def __init__(self, *, memory, clock):
        self._state = memory.state
        self._memory = memory
        self._clock = clock
        self._journal = memory.state.zones.open_journal()
        self._logged_at = None

    def tick(self):
        """Process the orders that were committed since the last call."""
        with self._memory.lock:
            changed = self._journal.take()
            if changed is None:
                changed = [row.name for row in self._state.zones]
            for zone in changed:
                self._answer_polls(zone)
            self._log_if_due(changed)

    def _log_if_due(self, changed):
        now = self._clock.monotonic()
        due = self._logged_at is None or now - self._logged_at >= LOG_INTERVAL
        if changed or due:
            self._logged_at = now
            self._log_runs()

    def _answer_polls(self, zone):
        """Tell the agents of a zone now whether starts may be sent."""
        for row in self._state.backends.iterate('zone', zone):
            agent_session = self._memory.sessions.find(row.key)
            if agent_session is not None:
                agent_session.answer_poll()

    def _log_runs(self):
        for row in self._state.zones:
            if row.withdrawn:
                servers = self._state.backends.select('zone', row.name)
                runs = sum(
                    len(self._memory.index.runs.get(server.key, ()))
                    for server in servers
                )
                _logger.info(
                    'availability zone is withdrawn',
                    extra={
                        'zone': row.name,
                        'backends': len(servers),
                        'runs': runs,
                    },
                )


def count_runs(state):
    """Return the number of workflow runs by availability zone.

    Args:
        state: The replicated tables.
    """
    counts = {}
    for row in state.workflows:
        for _, run in row.list_runs():
            server = state.backends.find(run.backend)
            if server is not None:
                counts[server.zone] = counts.get(server.zone, 0) + 1
    return counts
