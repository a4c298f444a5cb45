"""Checks of workflows and catalogs before they are accepted."""

import collections

from bilberryhaven import errors

__all__ = ['check_catalog', 'check_steps']

MAX_STEPS = 1_000
MAX_TASKS = 100_000
MAX_OCCURRENCES = 100_000


def check_steps(steps, schedule):
    """Check the steps and the schedule of a workflow.

    Raises:
        BadInputError: They can't be run as they are.
    """
    if not 0 < len(steps) <= MAX_STEPS:
        _refuse(f'{len(steps)} steps; allowed are 1 to {MAX_STEPS}')
    for index, step in enumerate(steps):
        if step.tasks < 1:
            _refuse(f'step {index} has no tasks')
        if min(step.cpu, step.memory_mb, step.gpu) < 0:
            _refuse(f'step {index} asks for less than nothing')
        if any(not 0 <= other < index for other in step.after):
            _refuse(f'step {index} waits for one that is not before it')
    if sum(step.tasks for step in steps) > MAX_TASKS:
        _refuse(f'more than {MAX_TASKS} tasks')
    if schedule is not None:
        if not 0 < schedule.count <= MAX_OCCURRENCES:
            _refuse(f'{schedule.count} occurrences')
        if schedule.interval_s < 0:
            _refuse('a negative interval')


def check_catalog(queues, pools):
    """Check a catalog.

    Raises:
        BadInputError: A queue names a pool that isn't there, two queues
            have one address, or a queue has no timeout.
    """
    names = {pool.name for pool in pools}
    for queue in queues:
        if queue.pool not in names:
            _refuse(f'queue {queue.name}: no pool is called {queue.pool!r}')
        if queue.timeout_ms <= 0:
            _refuse(f'queue {queue.name}: timeout_ms must be above 0')
    addresses = collections.Counter(
        (queue.host, queue.prefix) for queue in queues
    )
    for (host, prefix), count in addresses.items():
        if count > 1:
            _refuse(f'{count} queues are at {host}{prefix}')


def _refuse(reason):
    raise errors.BadInputError(reason, step='check input')
