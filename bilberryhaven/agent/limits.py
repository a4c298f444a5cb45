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
        kept_for: How long past its deadline a request's fate is remembered.
        kept_ids: Requests whose fate is remembered.
        kept_bytes: Bytes of answers kept for repeats.
        job_wait: How long a granted job waits for a slot.
    """

    slots: int = 8
    connections: int = 64
    control_connections: int = 4
    queue: int = 24
    max_deadline: datetime.timedelta = clock.seconds(30)
    kept_for: datetime.timedelta = clock.seconds(20)
    kept_ids: int = 8192
    kept_bytes: int = 1024 * 1024
    job_wait: datetime.timedelta = clock.seconds(2)

    @property
    def horizon(self):
        """How long after a loss of memory an unknown id may have run."""
        return self.max_deadline + self.kept_for
