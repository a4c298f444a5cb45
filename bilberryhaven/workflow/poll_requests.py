"""Handles the polls of the agents."""

import functools

from bilberryhaven import clock as clocks
from bilberryhaven.tables import backend
from bilberryhaven.workflow import message
from bilberryhaven.workflow import polls
from bilberryhaven.workflow import registration

__all__ = ['PollHandler']


class PollHandler:
    """Handles polls, each of which may be held until there are orders.

    Args:
        leader: The ``Dispatcher``.
        memory: The ``LeaderMemory``.
        keeper: The ``SessionKeeper``.
        clock: The ``Clock``.
        options: The workflow ``Options``.
    """

    def __init__(self, *, leader, memory, keeper, clock, options):
        self._leader = leader
        self._memory = memory
        self._keeper = keeper
        self._clock = clock
        self._options = options
        self._held = polls.HeldPolls(max_wait=options.max_poll_wait)

    def stop(self):
        """End the polls that are held."""
        self._held.stop()

    def handle(self, request):
        """Renew the lease of a server and reply once there are orders.

        Args:
            request: The ``Poll``.

        Returns:
            A future of the ``PollReply``.
        """
        self._leader.ensure_ready()
        server = request.server
        key = backend.build_backend_key(server.id, server.born_ms)
        agent_session = self._keeper.find_or_open(key, request)
        self._keeper.renew_lease(agent_session, request)
        return self._held.hold(
            agent_session,
            request,
            functools.partial(self._build_reply, request, agent_session),
        )

    def _build_reply(self, request, agent_session):
        self._leader.ensure_ready()
        registration.check_open(agent_session)
        key = agent_session.key
        last, orders = agent_session.list_orders(request.feed, request.seen)
        row = self._memory.state.backends.find(key)
        return message.PollReply(
            key=key,
            epoch=agent_session.epoch,
            lease_ms=int(self._options.lease / clocks.seconds(0.001)),
            feed=agent_session.feed,
            last=last,
            orders=orders,
            acked=row.acked if row else 0,
            former_deadline_ms=agent_session.deadline_ms,
            doubt_ms=self._compute_former_lease_ms(agent_session),
            withdrawn=row is not None
            and self._memory.state.zones.is_withdrawn(row.zone),
        )

    def _compute_former_lease_ms(self, agent_session):
        if agent_session.uncertain_until is None:
            return 0
        remaining = agent_session.uncertain_until - self._clock.monotonic()
        # At least 1: by 0, a new agent would conclude that no agent preceded
        # it.
        return max(1, int(remaining / clocks.seconds(0.001)))
