"""Accepts or rejects submitted workflows, depending on the backlog.

Answers a backlog that has outgrown what the leader can store or its pool can
still do. The decision is taken on the leader before the workflow is proposed.
"""

from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.overload import admission
from bilberryhaven.tables import workflow
from bilberryhaven.workflow import workflow_index

__all__ = ['WorkflowAcceptance', 'describe_decision']

MESSAGES = {
    admission.Reason.BACKLOG_FULL: 'too many workflows are waiting',
    admission.Reason.TOO_LATE: (
        'the workflow could not end before it is of no value'
    ),
    admission.Reason.UNPLACEABLE: (
        'no backend server of the pool meets the requirements of a step'
    ),
}

_logger = log.get_logger('workflow')


def describe_decision(decision):
    """Return the log fields that say what a decision rests on.

    Args:
        decision: The ``Decision``.
    """
    if decision.finish_s is None:
        return {}
    return {
        'expected_finish_s': round(decision.finish_s, 3),
        'work_ahead': round(decision.work_ahead),
    }


class WorkflowAcceptance:
    """Accepts submitted workflows, or rejects them under overload.

    Args:
        state: The replicated tables.
        index: The ``WorkflowIndex``.
        rooms: The ``RoomTracker``.
        ranker: The ``ValueRanker``.
        clock: The ``Clock``.
        options: The workflow ``Options``.
    """

    def __init__(self, *, state, index, rooms, ranker, clock, options):
        self._state = state
        self._index = index
        self._rooms = rooms
        self._ranker = ranker
        self._clock = clock
        self._enabled = options.admission
        self._shares = options.shares
        self._admission = admission.Admission(
            bounds=admission.Bounds(
                entries=options.max_active_workflows,
                size_bytes=options.max_active_bytes,
            )
        )

    def begin_term(self):
        """Forget all outcomes."""
        self._admission.clear()

    def check(self, row):
        """Decide on a workflow that isn't stored.

        The state machine's lock must be held since the tables were read.

        Args:
            row: The ``Workflow``.

        Returns:
            The ``Decision``, which accepts the workflow.

        Raises:
            RejectedError: The workflow is rejected.
        """
        if not self._enabled:
            return admission.Decision()
        now = self._clock.monotonic().total_seconds()
        forecast = self._rooms.get_forecast(row.pool)
        decision = self._admission.decide(
            self._describe(row, now),
            admission.Usage(
                entries=self._state.workflows.count(
                    'state', workflow.WorkflowState.ACTIVE
                ),
                size_bytes=self._index.size_bytes,
            ),
            self._rooms.get_limits(row.pool),
            forecast,
            now,
        )
        if not decision.accepted:
            self._reject(row, decision, forecast, now)
        return decision

    def _describe(self, row, now):
        counts = [step.tasks for step in row.steps]
        best_effort = any(step.best_effort for step in row.steps)
        return admission.Newcomer(
            key=row.id,
            need=self._ranker.describe(row, counts, now),
            best_effort=best_effort,
            line=(row.pool, best_effort, row.priority),
            has_deadline=row.schedule is None
            and not any(step.long_running for step in row.steps),
            sizes=tuple(
                (
                    (
                        0 if step.best_effort else step.cpu,
                        step.memory_mb,
                        step.gpu,
                    ),
                    step.required_label,
                )
                for step in row.steps
            ),
            size_bytes=workflow_index.estimate_size(row),
            zone=row.zone if self._shares else '',
        )

    def _reject(self, row, decision, forecast, now):
        log.log_decision(
            _logger,
            'reject workflow',
            reason=MESSAGES[decision.reason],
            workflow=row.id,
            queue=row.queue,
            code=str(decision.reason),
            retry_after_s=decision.retry_after_s,
            **describe_decision(decision),
            forecast_age_s=round(now - forecast.built_at, 3),
            forecast_known=forecast.is_known(now),
            best_effort_cpu=round(forecast.best_effort_rate),
            low_best_effort_cpu=round(forecast.low_best_effort_rate),
            claim_cpu=round(forecast.claim_rate),
        )
        raise errors.RejectedError(
            f'{MESSAGES[decision.reason]} ({decision.reason})',
            step='accept workflow',
            request_id=row.id,
            retry_after=decision.retry_after_s,
        )
