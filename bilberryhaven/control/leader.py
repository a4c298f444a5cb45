"""The leader: proposals, reads, and the systems' tick."""

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
from bilberryhaven.control import nodes
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven import systems
from bilberryhaven.wire import message

__all__ = ['COMMIT_TIMEOUT', 'Leader']

COMMIT_TIMEOUT = clocks.seconds(3)
MAX_USAGE_REPORTS = 100_000

_logger = log.get_logger('control')


class Leader(context.Context):
    """One control instance's view of leadership.

    Present on each control instance; every call raises ``NotLeaderError``
    on one that isn't the leader.

    Args:
        settings: The process's ``Settings``.
        clock: The ``Clock``.
        replica: The ``Replica`` of the log.
        machine: The ``TableStateMachine`` that it applies to.
    """

    def __init__(self, *, settings, clock, replica, machine):
        self.settings = settings
        self.clock = clock
        self.state = machine.state
        self.replica = replica
        self.nodes = nodes.NodeTable(clock=clock)
        self.feed = feed.Feed()
        self.throttles = {}
        self._loads = {}
        self._usage = []
        self._systems = systems.build_systems()
        self._ready_term = 0
        self._ready_lock = threading.Lock()

    def ensure_ready(self):
        """Check leadership; prepare the leader's memory in a new term.

        Raises:
            NotLeaderError: This instance is not, or no longer, the leader.
        """
        self.replica.check_read()
        term = self.replica.status().term
        if term == self._ready_term:
            return
        with self._ready_lock:
            if term != self._ready_term:
                self._prepare()
                self._ready_term = term

    def _prepare(self):
        with self.replica.machine_lock:
            rows = self.state.instances.select('connected', True)
            self.nodes.reset(rows)
        self.feed.reset()
        self._loads.clear()
        self._usage.clear()
        self.throttles.clear()
        self._systems = systems.build_systems()

    @contextlib.contextmanager
    def read(self):
        """Hold the tables still for a linearizable read."""
        self.ensure_ready()
        with self.replica.machine_lock:
            yield self.state

    def propose(self, command):
        """Commit ``command`` and return its result."""
        return self.replica.propose(
            commands.encode(command), timeout=COMMIT_TIMEOUT
        )

    def propose_all(self, batch):
        """Commit commands together; return results, errors included."""
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

        A claim that its holder asks for again, because the first answer was
        lost, is granted again; a holder's id is new at each of its starts.
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
        """Return the ``Node`` rows of agents and entries."""
        return self.nodes.list_rows()

    def list_members(self):
        """Return the control instances."""
        return self.replica.status().members

    def change_members(self, *, add=None, remove=None):
        """Add one control instance as learner or remove one."""
        return self.replica.change_members(add=add, remove=remove)

    def get_nodes_by_name(self):
        """Return the placement's ``Node`` rows of the last tick."""
        return self._systems[0].memory.fleet.nodes

    def list_slowdowns(self):
        """Return what the placement learned, as ``Slowdown`` messages."""
        learned = self._systems[0].memory.interference.list_slowdowns()
        return [
            message.Slowdown(
                service=row.service,
                beside=row.beside,
                band=row.band,
                factor=row.factor,
            )
            for row in learned
        ]

    def get_load(self, instance):
        """Return the newest ``Load`` of ``instance``, or None."""
        load, _ = self._loads.get(instance, (None, None))
        return load

    def get_load_age(self, instance):
        """Return the age of that ``Load`` as a timedelta."""
        now = self.clock.monotonic()
        _, received = self._loads.get(instance, (None, now))
        return now - received

    def record_load(self, instance, load, usage):
        """Keep an instance's newest load and usage reports."""
        self._loads[instance] = (load, self.clock.monotonic())
        self.feed.touch_load(instance, load)
        room = MAX_USAGE_REPORTS - len(self._usage)
        self._usage.extend((instance, item) for item in usage[:room])

    def record_applied(self, command):
        """Put the rows that a committed command changed on the feed."""
        if isinstance(command, change.OperatorChange):
            if command.kind != 'team':
                self.feed.record_change(command.kind, command.name)
        elif isinstance(command, _SESSION_COMMANDS):
            self.feed.record_change('instance', command.name)
        elif isinstance(command, job.GrantJobs):
            for name in {grant.instance for grant in command.grants}:
                self.feed.record_change('instance', name)

    def tick(self):
        """Run each system once and commit what they propose."""
        try:
            self.ensure_ready()
        except errors.BilberryhavenError:
            return
        batch = self._run_systems()
        if batch:
            self._report(batch, self.propose_all(batch))
        self._close_lapsed()

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

    def _report(self, batch, results):
        for command, result in zip(batch, results, strict=True):
            if isinstance(result, errors.BilberryhavenError):
                name = type(command).__name__
                _logger.warning('{} was refused: {}', name, result)

    def _close_lapsed(self):
        for name, epoch in self.nodes.list_lapsed():
            if self.nodes.begin_close(name, epoch):
                self.close_session(name, epoch, 'its lease ran out')

    def close_session(self, name, epoch, reason):
        """Commit the end of a session whose renewals are refused."""
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
            self.propose(command)
        self.nodes.end_close(name, epoch)
        self._loads.pop(name, None)


_SESSION_COMMANDS = (
    session.OpenSession,
    session.CloseSession,
    session.LeaveSession,
    session.QuarantineInstance,
)
