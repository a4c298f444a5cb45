"""Changes of members, one at a time, and hand-over of leadership."""

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
    'promote_learners',
    'start_leadership_transfer',
]


@dataclasses.dataclass(kw_only=True, slots=True)
class LeadershipTransfer:
    """A transfer of leadership in progress.

    Attributes:
        to: Name of the receiver.
        until: When it is given up.
        sent: Whether the receiver was told to campaign.
    """

    to: str
    deadline: datetime.timedelta
    sent: bool = False


def change_members(core, now, *, add=None, remove=None):
    """Append one change of members; return its index.

    Raises:
        RefusedError: Another change is in progress, or the name is wrong.
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
        _refuse(f'{name} is a member already')
    return core.members.add_learner(name, address)


def _build_removal(core, name, now):
    if name not in core.members:
        _refuse(f'{name} is no member')
    changed = core.members.remove(name)
    if not changed.voters:
        _refuse(f'{name} is the last voter')
    if name in core.members.voters:
        _check_remaining_quorum(core, changed, now)
    return changed


def _check_remaining_quorum(core, changed, now):
    """Refuse a removal after which no quorum would answer.

    A voter that is cut off, or has lost its disk and not yet stored again
    what this leader wrote, can't help once the removed one no longer counts.
    """
    responsive = [
        name for name in changed.voters if _is_responsive(core, name, now)
    ]
    if not changed.is_quorum(responsive):
        _refuse(
            f'of the voters left only {", ".join(responsive) or "none"} would '
            'answer; bring the others back first'
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
    """Make a learner a voter once it has caught up."""
    if core.history.index > core.commit or core.commit < core.noop_index:
        return
    for name in core.members.learners:
        if is_caught_up(core, name, now):
            _append(core, core.members.promote(name), now)
            return


def is_caught_up(core, name, now):
    """Return whether ``name`` stored a round's entries quickly enough.

    A round is over when all is stored that the log held at its begin. If
    that took no longer than an election timeout, the little that is missing
    since then is no reason to wait.
    """
    peer = core.peers[name]
    if peer.match < peer.round_index:
        return False
    in_time = now <= peer.round_at + core.options.election_timeout
    peer.start_round(core.log.last_index, now)
    return in_time


def finish_change(core, now):
    """Follow a committed change: drop peers, and leave if removed."""
    if core.history.index > core.commit:
        return
    core.update_peers(now)
    if core.name not in core.members.voters:
        target = _find_transfer_target(core)
        _send_transfer(core, target)
        core.become_follower(core.term, now)


def start_leadership_transfer(core, now, to=None):
    """Stop taking proposals until ``to`` has caught up and campaigns.

    Raises:
        RefusedError: There is no other voter, or ``to`` is none.
    """
    to = to or _find_transfer_target(core)
    if to == core.name or to not in core.members.voters:
        raise errors.RefusedError(
            f'{to or "nobody"} can not take leadership over', step='transfer'
        )
    deadline = now + core.options.transfer_timeout
    core.leadership_transfer = LeadershipTransfer(to=to, deadline=deadline)
    advance_leadership_transfer(core, now)
    return to


def advance_leadership_transfer(core, now):
    """Tell the receiver to campaign once its log is complete.

    From then on the lease is void, since the receiver's campaign isn't held
    off by it; a leader whose receiver doesn't campaign steps down.
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
    ranked = sorted(
        others,
        key=lambda name: (core.peers[name].match, name),
        reverse=True,
    )
    return ranked[0] if ranked else ''
