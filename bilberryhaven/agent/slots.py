"""Slots of a backend server that granted jobs hold or wait for."""

import collections
import dataclasses
import datetime

from bilberryhaven.agent import effects

__all__ = ['JobSlots']

MAX_ENDED_GRANTS = 1024


@dataclasses.dataclass(kw_only=True, slots=True)
class _WaitingJob:
    epoch: int
    slots: int
    expires_at: datetime.timedelta


class JobSlots:
    """Slot table of jobs; holds at most one grant of a job at a time.

    Args:
        limits: The agent's limits.
    """

    def __init__(self, *, limits):
        self._limits = limits
        self._held = {}
        self._waiting = collections.OrderedDict()
        self._ended = collections.OrderedDict()

    @property
    def used(self):
        """Number of slots that jobs hold."""
        return sum(slots for _, slots in self._held.values())

    def list_held(self):
        """Return the (job id, epoch) pairs that hold slots."""
        return [(job_id, epoch) for job_id, (epoch, _) in self._held.items()]

    def enqueue(self, job_id, epoch, slots, now):
        """Queue a job for slots; return whether its epoch is new."""
        if epoch <= self._get_newest_epoch(job_id):
            return False
        expires_at = now + self._limits.job_slot_timeout
        self._waiting[job_id] = _WaitingJob(
            epoch=epoch, slots=slots, expires_at=expires_at
        )
        return True

    def hold(self, job_id, epoch, slots):
        """Count the slots of a job that is already running."""
        self._held[job_id] = (epoch, slots)

    def release(self, job_id, epoch):
        """Free the slots of a job's grant and of older grants."""
        held_epoch, _ = self._held.get(job_id, (0, 0))
        if held_epoch and held_epoch <= epoch:
            del self._held[job_id]
        waiting = self._waiting.get(job_id)
        if waiting is not None and waiting.epoch <= epoch:
            del self._waiting[job_id]
        self._record_ended(job_id, epoch)

    def start_next(self, free):
        """Return the effect that starts the first job that fits, or None."""
        for job_id, job in self._waiting.items():
            if job.slots <= free and job_id not in self._held:
                del self._waiting[job_id]
                self._held[job_id] = (job.epoch, job.slots)
                return effects.RunJob(job_id=job_id, epoch=job.epoch)
        return None

    def refuse(self, now, reason, *, include_all=False):
        """Refuse waiting jobs: the expired ones, or all of them.

        Returns:
            A ``RefuseJob`` for each.
        """
        expired = [
            (job_id, job.epoch)
            for job_id, job in self._waiting.items()
            if include_all or job.expires_at <= now
        ]
        for job_id, epoch in expired:
            del self._waiting[job_id]
            self._record_ended(job_id, epoch)
        return [
            effects.RefuseJob(job_id=job_id, epoch=epoch, reason=reason)
            for job_id, epoch in expired
        ]

    def _get_newest_epoch(self, job_id):
        held_epoch, _ = self._held.get(job_id, (0, 0))
        waiting = self._waiting.get(job_id)
        waiting_epoch = waiting.epoch if waiting else 0
        return max(held_epoch, waiting_epoch, self._ended.get(job_id, 0))

    def _record_ended(self, job_id, epoch):
        self._ended[job_id] = max(epoch, self._ended.get(job_id, 0))
        self._ended.move_to_end(job_id)
        if len(self._ended) > MAX_ENDED_GRANTS:
            self._ended.popitem(last=False)
