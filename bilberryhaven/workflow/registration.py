"""Registration of backend servers and the sessions of their agents."""

from bilberryhaven import clock as clocks
from bilberryhaven.commands import backend as backend_commands
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.tables import backend
from bilberryhaven.workflow import session

__all__ = ['SessionKeeper', 'check_open']

MS_PER_S = 1000

_logger = log.get_logger('workflow')


class SessionKeeper:
    """Opens backend servers and sessions, and renews leases.

    Args:
        leader: The ``Dispatcher``.
        memory: The ``LeaderMemory``.
        closer: The ``BackendCloser``.
        clock: The ``Clock``.
        options: The workflow ``Options``.
    """

    def __init__(self, *, leader, memory, closer, clock, options):
        self._leader = leader
        self._memory = memory
        self._closer = closer
        self._clock = clock
        self._options = options

    def find_or_open(self, key, request):
        """Return the session of a backend server that polls.

        Args:
            key: The key of the server.
            request: The ``Poll`` of its agent.

        Returns:
            The ``Session``.

        Raises:
            FencedError: Another agent or a later incarnation is registered.
            UnavailableError: The backend server is being closed.
            UnknownPoolError: The server isn't registered, and the catalog
                in force doesn't name its pool.
        """
        with self._memory.lock:
            row = self._memory.state.backends.find(key)
            agent_session = self._memory.sessions.find(key)
        if row is not None and request.epoch > 0:
            if row.epoch != request.epoch:
                raise errors.FencedError(
                    f'epoch {request.epoch} of backend server {key} was '
                    f'replaced by epoch {row.epoch}',
                    step='poll',
                    peer=request.agent,
                )
            if agent_session is not None and agent_session.epoch == row.epoch:
                return agent_session
            return self._open_session(row, request, is_known=True)
        known = row is not None
        row = self._open_backend(key, request)
        return self._open_session(row, request, is_known=known, inherit=known)

    def _open_backend(self, key, request):
        self._check_pool(key, request)
        self._check_not_replaced(key, request)
        self._close_replaced(key, request)
        server = request.server
        row = backend.Backend(
            key=key,
            id=server.id,
            instance=request.agent,
            pool=server.pool,
            zone=server.zone,
            labels=server.labels,
            rack=server.rack,
            cpu=server.cpu,
            memory_mb=server.memory_mb,
            gpu=server.gpu,
            address=request.address,
        )
        command = backend_commands.OpenBackend(
            backend=row, at=self._clock.wall().timestamp()
        )
        row = self._leader.propose(command)
        log.log_decision(
            _logger,
            'open backend server',
            reason='registered by its agent',
            backend=key,
            instance=request.agent,
            epoch=row.epoch,
        )
        return row

    def _check_pool(self, key, request):
        """Check that the server is one to use, or is in use already.

        Raises:
            UnknownPoolError: The catalog in force doesn't name its pool, or
                there is none yet.
        """
        pool = request.server.pool
        with self._memory.lock:
            row = self._memory.state.backends.find(key)
            current = self._memory.state.catalogs.find_current()
        if row is not None and row.pool == pool:
            return
        if current is None or not current.names_pool(pool):
            raise errors.UnknownPoolError(
                f'no catalog in force names pool {pool!r} of {key}',
                step='poll',
                peer=request.agent,
            )

    def _check_not_replaced(self, key, request):
        """Check that the agent follows no server that started later.

        The runs of the other servers of the instance aren't ended: a poll
        doesn't show that they have. Their agent's lapse reports or their
        leases do.

        Raises:
            FencedError: A later incarnation is registered: the poll was
                held up by the network, or somebody else's server is
                registered, which lasts for one lease at most.
        """
        born_ms = request.server.born_ms
        now = self._clock.monotonic()
        with self._memory.lock:
            later = [
                row.key
                for row in self._memory.state.backends.select(
                    'instance', request.agent
                )
                if row.key != key
                and backend.get_born_ms(row.key) > born_ms
                and self._may_be_followed(row.key, now)
            ]
        if later:
            raise errors.FencedError(
                f'{key} was replaced by {later[0]}',
                step='poll',
                peer=request.agent,
            )

    def _close_replaced(self, key, request):
        """Close the earlier servers at whose address this one has answered.

        An agent that was started again doesn't know its former server, but the
        answer of another incarnation at that one's own address shows its end.
        """
        if not request.address:
            return
        born_ms = request.server.born_ms
        with self._memory.lock:
            replaced = [
                (row.key, self._memory.sessions.find(row.key))
                for row in self._memory.state.backends.select(
                    'instance', request.agent
                )
                if row.address == request.address
                and backend.get_born_ms(row.key) < born_ms
            ]
        for replaced_key, agent_session in replaced:
            self._closer.close_backend(
                replaced_key,
                agent_session,
                'another incarnation has answered at its address',
                evidence=f'{key} answers at {request.address}',
            )

    def _may_be_followed(self, key, now):
        agent_session = self._memory.sessions.find(key)
        if agent_session is None:
            return now < self._closer.earliest_end
        return (
            now < agent_session.lease_end
            and self._memory.sessions.is_followed(agent_session)
        )

    def _open_session(self, row, request, *, is_known, inherit=False):
        """Open the session of a backend server and order its runs.

        Args:
            row: The ``Backend``.
            request: The ``Poll`` of its agent.
            is_known: Whether the server was registered before.
            inherit: Whether the agent is new to the server, so that leases
                granted by an earlier agent may still be valid.

        Raises:
            UnavailableError: The backend server is being closed, which
                would end the runs that the session orders.
        """
        delay = self._options.lease_expiry_delay
        agent_session = session.Session(
            key=row.key,
            epoch=row.epoch,
            lease_end=self._clock.monotonic() + delay,
            poll=request,
        )
        with self._memory.lock:
            if self._closer.is_closing(row):
                raise errors.UnavailableError(
                    f'{row.key} is being closed',
                    step='poll',
                    peer=request.agent,
                )
            former = self._memory.sessions.find(row.key)
            if inherit:
                agent_session.uncertain_until = self._closer.ready_at + delay
            if inherit and former is not None:
                agent_session.uncertain_until = former.lease_end
                agent_session.deadline_ms = former.deadline_ms
            self._memory.sessions.put(agent_session)
            self._memory.index.refresh(self._clock.wall().timestamp())
            self._memory.order_runs(agent_session)
        if is_known:
            self._log_session(agent_session, inherit=inherit)
        self._leader.wake()
        return agent_session

    def _log_session(self, agent_session, *, inherit):
        doubt = agent_session.uncertain_until
        if doubt is not None:
            doubt -= self._clock.monotonic()
        log.log_decision(
            _logger,
            'open session',
            reason='polled by another agent process'
            if inherit
            else 'first poll in this term',
            backend=agent_session.key,
            agent=agent_session.instance,
            epoch=agent_session.epoch,
            session=agent_session.feed,
            term=self._leader.term,
            doubt_s=log.round_seconds(doubt),
            former_deadline_ms=agent_session.deadline_ms,
        )

    def renew_lease(self, agent_session, request):
        """Renew the lease of a server and record what its poll announces.

        Args:
            agent_session: The ``Session``.
            request: The ``Poll``.

        Raises:
            UnavailableError: The session is closed.
        """
        server = request.server
        with self._memory.lock:
            check_open(agent_session)
            now = self._clock.monotonic()
            agent_session.lease_end = now + self._options.lease_expiry_delay
            if not agent_session.is_delayed(request):
                self._memory.sessions.follow(agent_session)
                agent_session.draining = server.draining
                agent_session.refusing = request.refusing
            if server.draining:
                remaining = clocks.seconds(server.remaining_ms / MS_PER_S)
                agent_session.set_departure(now + remaining)
            changed = agent_session.update_capacity(request)
            agent_session.update_warming(request, now)
        if changed:
            log.log_decision(
                _logger,
                'change capacity',
                reason='announced by the backend server',
                backend=agent_session.key,
                cpu=server.cpu,
                memory_mb=server.memory_mb,
                gpu=server.gpu,
            )
            self._leader.wake()


def check_open(agent_session):
    """Check that a session is open.

    Args:
        agent_session: The ``Session``.

    Raises:
        UnavailableError: It is closed.
    """
    if agent_session.closed:
        raise errors.UnavailableError(
            'session was closed while the poll was pending',
            step='poll',
            peer=agent_session.key,
        )
