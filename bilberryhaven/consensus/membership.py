"""Membership changes, one at a time, and leadership transfer."""

import dataclasses
import datetime

from bilberryhaven.consensus import message
from bilberryhaven.consensus import replication
from bilberryhaven import errors

__all__ = [
    'LeadershipTransfer',
    'change_members',
    'advance_leadership_transfer',
    'finish_change',
    'hand_over',
    'promote_learners',
    'start_leadership_transfer',
]


@dataclasses.dataclass(kw_only=True, slots=True)
class LeadershipTransfer:
    """A leadership transfer in progress.

    Attributes:
        to: Name of the target.
        deadline: Monotonic time at which the transfer is abandoned.
        sent: Whether the target was told to campaign.
    """

    to: str
    deadline: datetime.timedelta
    sent: bool = False


def change_members(core, now, *, add=None, remove=None):
    """Append one membership change; return its index.

    Raises:
        RefusedError: Another change is in progress, the name is invalid, or
            the remaining voters would have no quorum.
    """
    if core.history.index > core.commit or core.commit < core.noop_index:
        _refuse('another change of members is in progress')
    if core.members.learners and remove not in core.members.learners:
        names = ', '.join(core.members.learners)
        _refuse(f'{names} has not caught up yet; wait, or remove it')
    if add is not None:
        return _append(core, _build_addition(core, *add), now)
    return _append(core, _build_removal(core, remove, now), now)


def _build_addition(core, name, address):
    if name in core.members:
        _refuse(f'{name} is already a member')
    return core.members.add_learner(name, address)


def _build_removal(core, name, now):
    if name not in core.members:
        _refuse(f'{name} is not a member')
    changed = core.members.remove(name)
    if not changed.voters:
        _refuse(f'{name} is the last voter')
    if name in core.members.voters:
        _check_remaining_quorum(core, changed, now)
    return changed


def _check_remaining_quorum(core, changed, now):
    """Refuse a removal after which no quorum would respond.

    A voter that is partitioned, or that lost its disk and has not yet stored
    this leader's entries again, cannot contribute to a quorum once the
    removed voter no longer counts.
    """
    responsive = [
        name for name in changed.voters if _is_responsive(core, name, now)
    ]
    if not changed.is_quorum(responsive):
        _refuse(
            f'of the remaining voters only {", ".join(responsive) or "none"} '
            'would respond; restore the others first'
        )


def _is_responsive(core, name, now):
    if name == core.name:
        return True
    peer = core.peers[name]
    if peer.answered_at is None or peer.match < core.noop_index:
        return False
    return now - peer.answered_at < core.options.election_timeout


def _refuse(reason):
    raise errors.RefusedError(reason, step='change members')


def _append(core, changed, now):
    entry = message.Entry(
        core.term, message.EntryKind.MEMBERS, changed.encode()
    )
    index = core.append([entry])
    core.update_peers(now)
    replication.acknowledge_locally(core)
    for name in core.peers:
        replication.send_appends(core, name, now)
    return index


def promote_learners(core, now):
    """Promote a learner to voter once it has caught up."""
    if core.history.index > core.commit or core.commit < core.noop_index:
        return
    for name in core.members.learners:
        if is_caught_up(core, name, now):
            _append(core, core.members.promote(name), now)
            return


def is_caught_up(core, name, now):
    """Return whether ``name`` has just completed a catch-up round in time.

    A round is complete when all entries that the log held at its start are
    stored; the next round then starts. If the round took no longer than an
    election timeout, the few entries appended since need not be awaited.
    """
    peer = core.peers[name]
    if peer.match < peer.round_index:
        return False
    in_time = now <= peer.round_at + core.options.election_timeout
    peer.start_round(core.log.last_index, now)
    return in_time


def finish_change(core, now):
    """Complete a committed change: drop peers; step down if removed."""
    if core.history.index > core.commit:
        return
    core.update_peers(now)
    if core.name not in core.members.voters:
        target = _find_transfer_target(core)
        _send_transfer(core, target)
        core.become_follower(core.term, now)


def hand_over(core):
    """Ask the most up-to-date voter to campaign, without waiting for it."""
    target = _find_transfer_target(core)
    _send_transfer(core, target)


def start_leadership_transfer(core, now, to=None):
    """Reject proposals until ``to`` has caught up and campaigns.

    Raises:
        RefusedError: There is no other voter, or ``to`` is not one.
    """
    to = to or _find_transfer_target(core)
    if to == core.name or to not in core.members.voters:
        raise errors.RefusedError(
            f'leadership cannot be transferred to {to or "nobody"}',
            step='transfer',
        )
    deadline = now + core.options.transfer_timeout
    core.leadership_transfer = LeadershipTransfer(to=to, deadline=deadline)
    advance_leadership_transfer(core, now)
    return to


def advance_leadership_transfer(core, now):
    """Tell the target to campaign once its log is complete.

    From then on the lease is void, since it does not delay the target's
    campaign. The leader steps down at the deadline if the target has not
    campaigned.
    """
    transfer = core.leadership_transfer
    if transfer is None:
        return
    if now >= transfer.deadline:
        core.leadership_transfer = None
        if transfer.sent:
            core.become_follower(core.term, now)
        return
    peer = core.peers.get(transfer.to)
    if transfer.sent or peer is None:
        return
    all_committed = core.commit == core.log.last_index
    if all_committed and peer.match == core.log.last_index:
        transfer.sent = True
        _send_transfer(core, transfer.to)


def _send_transfer(core, name):
    if name:
        core.lease.revoke()
        request = message.TransferRequest(sender=core.name, term=core.term)
        core.send(name, request)


def _find_transfer_target(core):
    others = [name for name in core.members.voters if name != core.name]
    return max(others, key=lambda name: _rank_target(core, name), default='')


def _rank_target(core, name):
    peer = core.peers[name]
    return peer.match, peer.answered_at or datetime.timedelta.min, name
