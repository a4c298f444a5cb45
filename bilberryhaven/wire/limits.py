"""How long an agent runs a request, and knows what became of it."""

from bilberryhaven import clock

__all__ = ['MAX_DEADLINE', 'RESULT_RETENTION']

# Agents reduce later deadlines to it.
MAX_DEADLINE = clock.seconds(30)
# From the deadline of a request to the removal of its record.
RESULT_RETENTION = clock.seconds(20)
