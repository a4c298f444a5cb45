"""Stops of runs that the leader decides on, with their log entries."""

from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import log

__all__ = ['log_stops', 'stop_runs']

_logger = log.get_logger('workflow')


def stop_runs(leader, stopped, decision, *, reason):
    """Commit the stop of runs and log the decision for each.

    Args:
        leader: The ``Dispatcher``.
        stopped: Pairs of a ``RunRef`` and the further fields of its log
            entry; no command is committed without any.
        decision: What was decided.
        reason: Why.
    """
    if not stopped:
        return
    refs = [ref for ref, _ in stopped]
    leader.propose(workflow_commands.StopRuns(runs=refs))
    log_stops(stopped, decision, reason=reason)


def log_stops(stopped, decision, *, reason):
    """Log a decision for each of the stopped runs.

    Args:
        stopped: Pairs of a ``RunRef`` and the further fields of its log
            entry.
        decision: What was decided.
        reason: Why.
    """
    for ref, fields in stopped:
        log.log_decision(
            _logger,
            decision,
            reason=reason,
            workflow=ref.workflow,
            task=ref.task,
            run=ref.number,
            **fields,
        )
