"""Actors of an agent: one for admission, one for backend server calls."""

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
    """Serialises access to the admission core; never blocks.

    Its methods are called through a proxy. The effects of a dispatch are put
    on the reply queue passed with it; a reply carries the current load.

    Args:
        core: The ``AdmissionCore``.
        clock: Source of the monotonic time.
        on_job: Called with each effect on a job.
        on_fault: Called after an unhandled exception stopped the actor.
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
        """Report that the core failed and no more work can be admitted."""
        _logger.critical(
            'admission core failed, admitting nothing: {!r}', error
        )
        self._on_fault()

    def admit(self, request, reply_queue):
        """Decide on a dispatch and put its effects on ``reply_queue``."""
        self._reply_queues[request.ticket] = reply_queue
        self._perform(self._core.admit(request, self._clock.monotonic()))

    def complete(self, request_id, body):
        """Record the complete answer to a request."""
        now = self._clock.monotonic()
        self._perform(self._core.complete(request_id, body, now))

    def fail(self, request_id, code, reason, outcome):
        """Record the failure of a request."""
        now = self._clock.monotonic()
        self._perform(self._core.fail(request_id, code, reason, outcome, now))

    def resolve(self, request_id, state):
        """Record the ``RunState`` of a lingering request."""
        now = self._clock.monotonic()
        self._perform(self._core.resolve(request_id, state, now))

    def adopt(self, request_ids):
        """Count requests that an earlier incarnation started."""
        self._core.adopt(request_ids, self._clock.monotonic())

    def revoke(self, request_ids):
        """Revoke requests; return the state of each, and the load."""
        now = self._clock.monotonic()
        states, effs = self._core.revoke(request_ids, now)
        self._perform(effs)
        return [str(state) for state in states], self._core.build_load()

    def tick(self):
        """Refuse queued work that waited too long; start what fits."""
        self._perform(self._core.tick(self._clock.monotonic()))

    def renew_lease(self, until, revision):
        """Extend the lease to ``until`` at ``revision``."""
        self._core.renew_lease(until, revision)

    def drop_lease(self):
        """Stop admitting until the lease is renewed."""
        self._core.drop_lease()

    def drain(self):
        """Refuse all new work."""
        self._perform(self._core.drain(self._clock.monotonic()))

    def start_job(self, job_id, epoch, slots):
        """Start a job as soon as its slots are free."""
        now = self._clock.monotonic()
        self._perform(self._core.start_job(job_id, epoch, slots, now))

    def hold_job(self, job_id, epoch, slots):
        """Count the slots of a job that is already running."""
        self._core.hold_job(job_id, epoch, slots)

    def end_job(self, job_id, epoch):
        """Free a job's slots."""
        now = self._clock.monotonic()
        self._perform(self._core.end_job(job_id, epoch, now))

    def get_load(self):
        """Return the ``Load``."""
        return self._core.build_load()

    def list_lingering(self):
        """Return the ids of the lingering requests."""
        return self._core.list_lingering()

    def has_requests(self):
        """Return whether any request has a waiting caller."""
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
    """Result of a task command that succeeded."""

    command: typing.Any
    task: typing.Any


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class CommandError:
    """Result of a task command that failed."""

    command: typing.Any
    error: errors.BilberryhavenError


class TaskActor(pykka.ThreadingActor):
    """Executes task commands at the backend server, one at a time.

    Args:
        backend: The ``BackendClient``.
        on_result: Called with the ``CommandDone`` or ``CommandError`` of each
            command.
    """

    use_daemon_thread = True

    def __init__(self, *, backend, on_result):
        super().__init__()
        self._backend = backend
        self._on_result = on_result

    def execute(self, command, session):
        """Execute one command and report its result."""
        try:
            task = self._call(command, session)
        except errors.BilberryhavenError as error:
            _logger.warning(
                'task command {} failed: {}', type(command).__name__, error
            )
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
    """Return a queue that receives the effects of one dispatch."""
    return queue.SimpleQueue()
