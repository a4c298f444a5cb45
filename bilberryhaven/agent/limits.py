"""Limits of an agent's admission."""

import dataclasses
import datetime

from bilberryhaven import clock

__all__ = ['Limits']


@dataclasses.dataclass(kw_only=True, frozen=True, slots=True)
class Limits:
    """What an agent admits and remembers at most.

    Attributes:
        slots: Requests and tasks that the backend server runs at a time.
        connections: Connections that it holds.
        control_connections: Of these, kept for the agent's own calls.
        queue: Requests that wait for a slot.
        max_deadline: Longest deadline; longer ones are cut to it.
        result_retention: How long past its deadline a request's result is
            kept.
        max_records: Requests whose fate is remembered.
        max_stored_bytes: Bytes of answers kept for repeats.
        job_slot_timeout: How long a granted job waits for a slot.
    """

    slots: int = 8
    connections: int = 64
    control_connections: int = 4
    queue: int = 24
    max_deadline: datetime.timedelta = clock.seconds(30)
    result_retention: datetime.timedelta = clock.seconds(20)
    max_records: int = 8192
    max_stored_bytes: int = 1024 * 1024
    job_slot_timeout: datetime.timedelta = clock.seconds(2)

    @property
    def horizon(self):
        """How long after a loss of memory an unknown id may have run."""
        return self.max_deadline + self.result_retention
