"""Limits on admission."""

import dataclasses
import datetime

from bilberryhaven import clock
from bilberryhaven.wire import limits

__all__ = ['Limits']


@dataclasses.dataclass(kw_only=True, frozen=True, slots=True)
class Limits:
    """Bounds on the work that an agent admits and the results it stores.

    Attributes:
        slots: Requests and tasks that the backend server runs concurrently.
        connections: Connections to the backend server.
        control_connections: How many of these are reserved for the agent's
            own calls.
        queue: Requests that wait for a slot.
        max_deadline: Longest deadline; later ones are reduced to it.
        result_retention: How long past its deadline a request's result is
            kept.
        max_records: Requests whose result is stored.
        max_stored_bytes: Bytes of answers stored for repeats.
        job_slot_timeout: How long a granted job waits for its slots.
    """

    slots: int = 8
    connections: int = 64
    control_connections: int = 4
    queue: int = 24
    max_deadline: datetime.timedelta = limits.MAX_DEADLINE
    result_retention: datetime.timedelta = limits.RESULT_RETENTION
    max_records: int = 8192
    max_stored_bytes: int = 1024 * 1024
    job_slot_timeout: datetime.timedelta = clock.seconds(2)

    @property
    def horizon(self):
        """How long after losing records an unknown id may have run."""
        return self.max_deadline + self.result_retention
