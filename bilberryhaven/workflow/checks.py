"""Validation of workflows and catalogs."""

from bilberryhaven import errors
from bilberryhaven.workflow import catalog_check

__all__ = ['check_catalog', 'check_steps']

MAX_STEPS = 1_000
MAX_TASKS = 100_000
MAX_OCCURRENCES = 100_000


def check_steps(steps, schedule):
    """Check the steps and the schedule of a workflow.

    Args:
        steps: The ``Step`` rows.
        schedule: The ``Schedule``, or None.

    Raises:
        BadInputError: A step or the schedule is invalid, or there are too
            many steps, tasks or occurrences.
    """
    if not 0 < len(steps) <= MAX_STEPS:
        _refuse(f'workflow has {len(steps)} steps; must be 1 to {MAX_STEPS}')
    for index, step in enumerate(steps):
        if step.tasks < 1:
            _refuse(f'step {index} has no tasks')
        if min(step.cpu, step.memory_mb, step.gpu) < 0:
            _refuse(f'step {index} requests a negative amount of a resource')
        if any(not 0 <= other < index for other in step.after):
            _refuse(f'step {index} depends on a step that does not precede it')
    if sum(step.tasks for step in steps) > MAX_TASKS:
        _refuse(f'workflow has more than {MAX_TASKS} tasks')
    if schedule is not None:
        if not 0 < schedule.count <= MAX_OCCURRENCES:
            _refuse(f'schedule has an invalid count of {schedule.count}')
        if schedule.interval_s < 0:
            _refuse('schedule has a negative interval_s')


def check_catalog(queues, pools):
    """Check the queues and pools of a catalog.

    Args:
        queues: The ``Queue`` rows.
        pools: The ``Pool`` rows.

    Raises:
        BadInputError: A queue refers to an unknown pool, two queues have the
            same address, or a queue has no timeout.
    """
    for finding in catalog_check.find_errors(queues, pools):
        _refuse(finding.message)


def _refuse(reason):
    raise errors.BadInputError(reason, step='check input')
