"""Handles workflow requests of callers and operators on the leader."""

import collections
import re

from bilberryhaven.commands import catalog as catalog_commands
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.tables import catalog
from bilberryhaven.tables import workflow
from bilberryhaven.workflow import acceptance as acceptances
from bilberryhaven.workflow import checks
from bilberryhaven.workflow import message

__all__ = ['CallerRequestHandler']

ID_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9_-]{0,99}')
MAX_LOGGED_IDS = 20
QUEUED = 'queued'
RUNNING = 'running'

_logger = log.get_logger('workflow')


class CallerRequestHandler:
    """Handles requests of callers and operators.

    Args:
        leader: The ``Dispatcher``.
        memory: The ``LeaderMemory``.
        clock: The ``Clock``.
    """

    def __init__(self, *, leader, memory, clock):
        self._leader = leader
        self._memory = memory
        self._acceptance = memory.acceptance
        self._late = memory.late_submissions
        self._clock = clock

    def submit(self, request, relayed):
        """Accept a workflow; resubmission of an id changes nothing.

        Args:
            request: The ``Submit`` message.
            relayed: The ``Relayed`` message that it came with.

        Returns:
            The ``StateReply``.

        Raises:
            BadInputError: The steps, the schedule or the id is invalid.
            NotFoundError: No queue matches the host and path.
            NotLeaderError: This instance is not the leader.
            RejectedError: The workflow can't be served at present, or was
                cancelled before.
            OutdatedError: The submission may be older than a cancel.
            UnavailableError: No catalog has been set yet.
        """
        checks.check_steps(request.steps, request.schedule)
        with self._leader.read() as state:
            queue, workflow_id = _resolve(state, request)
            known = state.workflows.find(workflow_id)
            if known is None:
                term = self._leader.term
                version = state.catalogs.find_current().version
                self._late.check(workflow_id, relayed)
                row = self._build_row(request, queue, workflow_id)
                decision = self._acceptance.check(row)
        if known is None:
            command = workflow_commands.SubmitWorkflow(
                workflow=row, catalog_version=version
            )
            known = self._accept(command, decision, relayed, term)
        else:
            self._log_known(known, queue.name)
        return message.StateReply(state=describe_state(known))

    def _build_row(self, request, queue, workflow_id):
        return workflow.Workflow(
            id=workflow_id,
            queue=queue.name,
            pool=queue.pool,
            spec=request.spec,
            steps=request.steps,
            schedule=request.schedule,
            priority=queue.priority,
            max_attempts=queue.max_attempts,
            slack_factor=queue.slack_factor,
            latency_ms=queue.latency_ms,
            submitted_at=self._clock.wall().timestamp(),
            zone=request.zone,
            address=queue.address,
        )

    def _accept(self, command, decision, relayed, term):
        row = command.workflow
        stored = self._leader.propose(command, term=term)
        if stored is None:
            # The cancel was committed since the check.
            self._late.reject_cancelled(row.id, relayed)
        self._leader.wake()
        if stored.submitted_at != row.submitted_at:
            # Another submission of the id was committed before this one.
            self._log_known(stored, row.queue)
            return stored
        log.log_decision(
            _logger,
            'accept workflow',
            reason='accepted by its queue',
            workflow=row.id,
            queue=row.queue,
            zone=row.zone,
            tasks=sum(step.tasks for step in row.steps),
            submitted_at=row.submitted_at,
            term=self._leader.term,
            **relayed.describe_sending(self._clock.monotonic()),
            **acceptances.describe_decision(decision),
        )
        return stored

    def _log_known(self, known, queue):
        age_s = self._clock.wall().timestamp() - known.submitted_at
        log.log_decision(
            _logger,
            'find stored workflow',
            reason='submitted before',
            workflow=known.id,
            queue=queue,
            stored_queue=known.queue,
            state=known.state,
            submitted_at=known.submitted_at,
            age_s=round(age_s, 3),
            term=self._leader.term,
        )

    def inquire(self, request):
        """Return the state of a workflow or the length of a queue.

        Args:
            request: The ``Inquire`` message; its path may be that of a queue.

        Returns:
            The ``StateReply`` of a workflow, or the ``CountReply`` of a queue
            with the number of workflows that wait for their first start.

        Raises:
            GoneError: The queue has no such workflow.
        """
        with self._leader.read() as state:
            queue, workflow_id = _resolve(state, request, allow_queue=True)
            if workflow_id:
                row = _find(state, queue, workflow_id)
                return message.StateReply(state=describe_state(row))
            waiting = sum(
                1
                for row in state.workflows.iterate(
                    'state', workflow.WorkflowState.ACTIVE
                )
                if not row.started and _belongs(row, queue)
            )
            return message.CountReply(waiting=waiting)

    def cancel(self, request):
        """Cancel a workflow; one that has ended stays as it is.

        Args:
            request: The ``Cancel`` message.

        Returns:
            The ``StateReply``.

        Raises:
            GoneError: The queue has no such workflow, and a submission sent
                before is not accepted any more.
        """
        with self._leader.read() as state:
            queue, workflow_id = _resolve(state, request)
            row = state.workflows.find(workflow_id)
            if row is not None and not _belongs(row, queue):
                raise _build_gone_error(queue, workflow_id)
            if row is not None and row.state != workflow.WorkflowState.ACTIVE:
                return message.StateReply(state=describe_state(row))
            if row is None:
                self._late.note_cancel(workflow_id)
        cancelled = self._propose_cancel(workflow_id)
        is_known = cancelled.state is not None
        log.log_decision(
            _logger,
            'cancel workflow' if is_known else 'cancel unknown workflow',
            reason='requested by its caller',
            workflow=workflow_id,
            queue=queue.name,
            term=self._leader.term,
        )
        if not is_known:
            raise _build_gone_error(queue, workflow_id)
        self._leader.wake()
        return message.StateReply(state=str(cancelled.state))

    def _propose_cancel(self, workflow_id):
        command = workflow_commands.CancelWorkflow(
            id=workflow_id, at=self._clock.wall().timestamp()
        )
        try:
            cancelled = self._leader.propose(command)
        except errors.BilberryhavenError as error:
            if error.outcome == errors.Outcome.UNKNOWN:
                with self._memory.lock:
                    self._late.note_unknown_commit()
            raise
        with self._memory.lock:
            self._late.note_dropped(cancelled.dropped)
        return cancelled

    def replace_catalog(self, request):
        """Replace the catalog; a version that isn't higher changes nothing.

        Args:
            request: The ``Replace`` message.

        Returns:
            The ``CatalogReply`` with the version in force.

        Raises:
            BadInputError: The catalog is invalid.
        """
        checks.check_catalog(request.queues, request.pools)
        row = catalog.Catalog(
            version=request.version,
            queues=request.queues,
            pools=request.pools,
            document=request.document,
        )
        self._leader.ensure_ready()
        replaced = self._leader.propose(
            catalog_commands.ReplaceCatalog(catalog=row)
        )
        version = replaced.version
        self._leader.wake()
        log.log_decision(
            _logger,
            'replace catalog',
            reason='newer' if version == request.version else 'overtaken',
            version=request.version,
            in_force=version,
            queues=len(request.queues),
        )
        self._log_moved(replaced)
        return message.CatalogReply(version=version)

    def _log_moved(self, replaced):
        counts = collections.Counter(
            (item.former, item.pool) for item in replaced.moved
        )
        for (former, pool), count in counts.items():
            log.log_decision(
                _logger,
                'move workflows',
                reason='their queue names another pool',
                former=former,
                pool=pool,
                workflows=[
                    item.id
                    for item in replaced.moved
                    if (item.former, item.pool) == (former, pool)
                ][:MAX_LOGGED_IDS],
                count=count,
                version=replaced.version,
                term=self._leader.term,
            )

    def read_catalog(self, request):
        """Return the catalog in force.

        Args:
            request: The ``ReadCatalog`` message.

        Returns:
            The ``CatalogReply``; version 0 if no catalog has been set.
        """
        with self._leader.read() as state:
            row = state.catalogs.find_current()
            if row is None:
                return message.CatalogReply(version=0)
            return message.CatalogReply(
                version=row.version, document=row.document
            )


def describe_state(row):
    """Return the state of a workflow as it is reported to callers.

    Args:
        row: The ``Workflow``.
    """
    if row.state == workflow.WorkflowState.ACTIVE:
        return RUNNING if row.started else QUEUED
    return str(row.state)


def _resolve(state, request, *, allow_queue=False):
    """Return the (queue, workflow id) pair that a request addresses.

    Raises:
        UnavailableError: No catalog has been set yet.
        NotFoundError: No queue matches the host and path.
        BadInputError: The path after the queue's prefix is no valid id.
    """
    current = state.catalogs.find_current()
    if current is None:
        raise errors.UnavailableError(
            'no catalog of queues has been set yet',
            step='find queue',
            retry_after=1,
        )
    matches = [
        queue
        for queue in current.queues
        if queue.host == request.host and request.path.startswith(queue.prefix)
    ]
    if not matches:
        raise errors.NotFoundError(
            f'no queue matches {request.host}{request.path}', step='find queue'
        )
    queue = max(matches, key=lambda item: len(item.prefix))
    workflow_id = request.path[len(queue.prefix) :]
    if not workflow_id and allow_queue:
        return queue, ''
    if not ID_PATTERN.fullmatch(workflow_id):
        raise errors.BadInputError(
            f'{workflow_id!r} is not a valid workflow id', step='find queue'
        )
    return queue, workflow_id


def _find(state, queue, workflow_id):
    row = state.workflows.find(workflow_id)
    if row is None or not _belongs(row, queue):
        raise _build_gone_error(queue, workflow_id)
    return row


def _build_gone_error(queue, workflow_id):
    return errors.GoneError(
        f'queue {queue.name} has no workflow {workflow_id}',
        step='look-up',
        request_id=workflow_id,
    )


def _belongs(row, queue):
    """Return whether callers address a workflow at a queue.

    The queue may have been renamed or moved since the submission.
    """
    return row.queue == queue.name or row.address == queue.address
