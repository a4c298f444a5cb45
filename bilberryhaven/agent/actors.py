"""Actors of an agent: one owns admission, one talks to the backend server."""

import dataclasses
import queue
import typing

import pykka

from bilberryhaven.agent import effects
from bilberryhaven.agent import job
from bilberryhaven import errors
from bilberryhaven import log

__all__ = ['AdmissionActor', 'CommandDone', 'CommandError', 'TaskActor']

_logger = log.get_logger('agent')


class AdmissionActor(pykka.ThreadingActor):
    """Owns the admission core; never blocks.

    Its methods are called through a proxy. A dispatch's effects go to the
    queue that came with it, each with the load at that moment.

    Args:
        core: The ``AdmissionCore``.
        clock: Times the decisions.
        on_job: Called with each effect on a job.
        on_fault: Called once the actor has stopped because of a fault.
    """

    use_daemon_thread = True

    def __init__(self, *, core, clock, on_job, on_fault):
        super().__init__()
        self._core = core
        self._clock = clock
        self._on_job = on_job
        self._on_fault = on_fault
        self._reply_queues = {}

    def on_failure(self, kind, error, trace):
        """Report a fault in the core: nothing can be admitted any more."""
        _logger.critical('admission failed: {!r}', error)
        self._on_fault()

    def admit(self, request, reply_queue):
        """Decide on a dispatch; ``waiter`` gets its effects."""
        self._reply_queues[request.ticket] = reply_queue
        self._perform(self._core.admit(request, self._clock.monotonic()))

    def complete(self, request_id, body):
        """Record a whole answer."""
        now = self._clock.monotonic()
        self._perform(self._core.complete(request_id, body, now))

    def fail(self, request_id, code, reason, outcome):
        """Record a failure."""
        now = self._clock.monotonic()
        self._perform(self._core.fail(request_id, code, reason, outcome, now))

    def resolve(self, request_id, state):
        """Record the fate of a lingering request."""
        now = self._clock.monotonic()
        self._perform(self._core.resolve(request_id, state, now))

    def adopt(self, request_ids):
        """Count requests of a former agent."""
        self._core.adopt(request_ids, self._clock.monotonic())

    def revoke(self, request_ids):
        """Return the state of each request and the load."""
        now = self._clock.monotonic()
        states, effs = self._core.revoke(request_ids, now)
        self._perform(effs)
        return [str(state) for state in states], self._core.build_load()

    def tick(self):
        """Refuse what waited too long."""
        self._perform(self._core.tick(self._clock.monotonic()))

    def renew_lease(self, until, revision):
        """Admit until ``until``."""
        self._core.renew_lease(until, revision)

    def drop_lease(self):
        """Admit nothing more."""
        self._core.drop_lease()

    def drain(self):
        """Refuse all new work."""
        self._perform(self._core.drain(self._clock.monotonic()))

    def start_job(self, job_id, epoch, slots):
        """Start a job as soon as it has its slots."""
        now = self._clock.monotonic()
        self._perform(self._core.start_job(job_id, epoch, slots, now))

    def hold_job(self, job_id, epoch, slots):
        """Count a job that already runs."""
        self._core.hold_job(job_id, epoch, slots)

    def end_job(self, job_id, epoch):
        """Free a job's slots."""
        now = self._clock.monotonic()
        self._perform(self._core.end_job(job_id, epoch, now))

    def get_load(self):
        """Return the ``Load``."""
        return self._core.build_load()

    def list_lingering(self):
        """Return the ids of requests that may run without a caller."""
        return self._core.list_lingering()

    def has_requests(self):
        """Return whether a request waits or runs for a caller."""
        return self._core.has_requests()

    def _perform(self, effs):
        for effect in effs:
            if isinstance(effect, effects.Run):
                self._reply_queues[effect.ticket].put((effect, None))
            elif isinstance(effect, effects.Reply):
                reply_queue = self._reply_queues.pop(effect.ticket)
                reply_queue.put((effect, self._core.build_load()))
            else:
                self._on_job(effect)


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class CommandDone:
    """The backend server carried a command out."""

    command: typing.Any
    task: typing.Any


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class CommandError:
    """A command failed."""

    command: typing.Any
    error: errors.BilberryhavenError


class TaskActor(pykka.ThreadingActor):
    """Carries out commands on tasks, one after the other.

    Args:
        backend: The ``BackendClient``.
        on_result: Called with a ``CommandDone`` or ``CommandError`` each.
    """

    use_daemon_thread = True

    def __init__(self, *, backend, on_result):
        super().__init__()
        self._backend = backend
        self._on_result = on_result

    def execute(self, command, session):
        """Carry out one command and report its result."""
        try:
            task = self._call(command, session)
        except errors.BilberryhavenError as error:
            _logger.warning('{} failed: {}', type(command).__name__, error)
            self._on_result(CommandError(command=command, error=error))
        else:
            self._on_result(CommandDone(command=command, task=task))

    def _call(self, command, session):
        backend = self._backend
        if isinstance(command, job.StartTask):
            return backend.start_task(command.order, session)
        if isinstance(command, job.StopTask):
            return backend.stop_task(command.job_id, command.epoch)
        if isinstance(command, job.CheckpointTask):
            return backend.checkpoint_task(command.job_id, command.epoch)
        if isinstance(command, job.ForgetTask):
            return backend.forget_task(command.job_id, command.epoch)
        return backend.throttle_task(
            command.job_id, command.epoch, command.share
        )


def build_reply_queue():
    """Return a queue for a dispatch's effects."""
    return queue.SimpleQueue()
