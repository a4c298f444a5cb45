"""The leader: proposals, linearizable reads and the systems' tick."""

import concurrent.futures
import contextlib
import threading

from bilberryhaven import clock as clocks
from bilberryhaven import commands
from bilberryhaven.commands import change
from bilberryhaven.commands import claim as claim_commands
from bilberryhaven.commands import job
from bilberryhaven.commands import session
from bilberryhaven.control import context
from bilberryhaven.control import feed
from bilberryhaven.control import leases
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven import systems
from bilberryhaven.wire import message

__all__ = ['COMMIT_TIMEOUT', 'Leader']

COMMIT_TIMEOUT = clocks.seconds(3)
# Limits memory; usage reports beyond it are dropped until the next tick.
MAX_USAGE_REPORTS = 100_000

_logger = log.get_logger('control')


class Leader(context.Context):
    """Leader duties of a control instance.

    Each control instance has one. On an instance that is not the leader,
    every call raises ``NotLeaderError``.

    Args:
        settings: The process's ``Settings``.
        clock: The ``Clock``.
        replica: The ``Replica`` of the replicated log.
        machine: The ``TableStateMachine`` that the log is applied to.
    """

    def __init__(self, *, settings, clock, replica, machine):
        self.settings = settings
        self.clock = clock
        self.state = machine.state
        self.replica = replica
        self.leases = leases.LeaseTable(clock=clock)
        self.feed = feed.ChangeFeed()
        self.throttles = {}
        self._loads = {}
        self._usage = []
        self._systems = systems.build_systems()
        self._ready_term = 0
        self._ready_lock = threading.Lock()

    def ensure_ready(self):
        """Check leadership; reset the unreplicated state in a new term.

        Raises:
            NotLeaderError: This instance is not the leader.
        """
        self.replica.check_read()
        term = self.replica.status().term
        if term == self._ready_term:
            return
        with self._ready_lock:
            if term != self._ready_term:
                self._reset_volatile_state()
                self._ready_term = term

    def _reset_volatile_state(self):
        with self.replica.machine_lock:
            rows = self.state.instances.select('connected', True)
            self.leases.reset(rows)
        self.feed.reset()
        self._loads.clear()
        self._usage.clear()
        self.throttles.clear()
        self._systems = systems.build_systems()

    @contextlib.contextmanager
    def read(self):
        """Lock the tables for a linearizable read."""
        self.ensure_ready()
        with self.replica.machine_lock:
            yield self.state

    def propose(self, command, *, term=0):
        """Commit ``command`` and return its result.

        Args:
            command: The ``Command``.
            term: The only term in which it may be proposed; 0 for any.
        """
        return self.replica.propose(
            commands.encode(command), timeout=COMMIT_TIMEOUT, term=term
        )

    def propose_all(self, batch):
        """Commit commands together; return a result or error for each."""
        futures = [
            self.replica.propose_future(commands.encode(command))
            for command in batch
        ]
        return [self._await_result(future) for future in futures]

    def _await_result(self, future):
        try:
            return future.result(COMMIT_TIMEOUT.total_seconds())
        except errors.BilberryhavenError as error:
            return error
        except concurrent.futures.TimeoutError:
            return errors.DeadlineError(
                'the command was not committed in time', step='commit'
            )

    def claim(self, request):
        """Return the ``ClaimReply`` to a ``ClaimRequest``.

        A repeated request of the current holder is granted again, since its
        first reply may have been lost. This is safe because a holder has a
        new id after each restart.
        """
        command = claim_commands.ClaimRequest(
            request_id=request.request_id,
            workload=request.workload,
            holder=request.entry,
            at=self.clock.wall(),
        )
        try:
            row = self.propose(command)
        except errors.RefusedError as error:
            granted = error.peer == request.entry
            return message.ClaimReply(granted=granted, holder=error.peer)
        return message.ClaimReply(granted=True, holder=row.holder)

    def list_nodes(self):
        """Return the ``NodeStatus`` of each agent and entry with a lease."""
        return self.leases.list_rows()

    def list_members(self):
        """Return the ``MemberStatus`` of each control instance."""
        return self.replica.status().members

    def change_members(self, *, add=None, remove=None):
        """Add a control instance as a learner, or remove one."""
        return self.replica.change_members(add=add, remove=remove)

    def get_nodes_by_name(self):
        """Return the ``Node`` of each instance as of the last tick."""
        return self._systems[0].memory.fleet.nodes

    def list_slowdowns(self):
        """Return the estimated interference as ``Slowdown`` messages."""
        slowdowns = self._systems[0].memory.interference.list_slowdowns()
        return [
            message.Slowdown(
                service=row.service,
                beside=row.beside,
                band=row.band,
                factor=row.factor,
            )
            for row in slowdowns
        ]

    def get_load(self, instance):
        """Return the latest ``Load`` message of ``instance``, or None."""
        load, _ = self._loads.get(instance, (None, None))
        return load

    def get_load_age(self, instance):
        """Return the age of the latest ``Load``; zero if there is none."""
        now = self.clock.monotonic()
        _, received = self._loads.get(instance, (None, now))
        return now - received

    def record_load(self, instance, load, usage):
        """Record the latest load and the usage reports of an instance."""
        self._loads[instance] = (load, self.clock.monotonic())
        self.feed.record_load(instance, load)
        remaining = MAX_USAGE_REPORTS - len(self._usage)
        self._usage.extend((instance, item) for item in usage[:remaining])

    def record_applied(self, command):
        """Record the rows that a committed command changed in the feed."""
        if isinstance(command, change.OperatorChange):
            if command.kind != 'team':
                self.feed.record_change(command.kind, command.name)
        elif isinstance(command, _SESSION_COMMANDS):
            self.feed.record_change('instance', command.name)
        elif isinstance(command, job.GrantJobs):
            for name in {grant.instance for grant in command.grants}:
                self.feed.record_change('instance', name)

    def tick(self):
        """Run each system once and commit the commands they return."""
        try:
            self.ensure_ready()
        except errors.BilberryhavenError:
            return
        batch = self._run_systems()
        if batch:
            self._log_refusals(batch, self.propose_all(batch))
        with contextlib.suppress(errors.NotLeaderError):
            self._close_expired_sessions()

    def _run_systems(self):
        usage, self._usage = self._usage, []
        with self.replica.machine_lock:
            world = systems.World(
                state=self.state,
                now=self.clock.wall(),
                loads={name: pair[0] for name, pair in self._loads.items()},
                usage=usage,
                objective=self.settings.objective,
                service_reserve=self.settings.service_reserve,
                throttles=self.throttles,
            )
            batch = []
            for system in self._systems:
                batch.extend(system.run(world))
        return batch

    def _log_refusals(self, batch, results):
        for command, result in zip(batch, results, strict=True):
            if isinstance(result, errors.BilberryhavenError):
                name = type(command).__name__
                _logger.warning('command {} was rejected: {}', name, result)

    def _close_expired_sessions(self):
        # Read before the leases: another leader may renew them from the end
        # of that term on.
        term = self._ready_term
        for name, epoch in self.leases.list_expired():
            if self.leases.begin_close(name, epoch):
                self.close_session(name, epoch, 'its lease ran out', term=term)

    def close_session(self, name, epoch, reason, *, term=0):
        """Commit the end of a session whose renewals are already refused.

        Args:
            name: Name of the instance.
            epoch: Epoch of the session.
            reason: Why it ends.
            term: The only term in which that holds; 0 for any.

        Raises:
            NotLeaderError: That term has ended; the session isn't closed.
        """
        log.log_decision(
            _logger,
            'close session',
            reason=reason,
            instance=name,
            epoch=epoch,
        )
        command = session.CloseSession(
            name=name, epoch=epoch, at=self.clock.wall(), reason=reason
        )
        with contextlib.suppress(errors.FencedError):
            self.propose(command, term=term)
        self.leases.end_close(name, epoch)
        self._loads.pop(name, None)


_SESSION_COMMANDS = (
    session.OpenSession,
    session.CloseSession,
    session.LeaveSession,
    session.QuarantineInstance,
)
