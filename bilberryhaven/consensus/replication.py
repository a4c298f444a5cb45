"""Log replication: appends, heartbeats and the commit rule."""

from bilberryhaven.consensus import membership
from bilberryhaven.consensus import message
from bilberryhaven.consensus import snapshot_transfer
from bilberryhaven.consensus import status

__all__ = [
    'advance_commit',
    'append_as_leader',
    'handle_append_reply',
    'handle_append_request',
    'send_appends',
    'send_heartbeats',
]

RESEND_AFTER_HEARTBEATS = 3


def append_as_leader(core, entries, now):
    """Append the leader's entries and send them; return the first index."""
    first = core.append(entries)
    acknowledge_locally(core)
    for name in core.peers:
        send_appends(core, name, now)
    return first


def acknowledge_locally(core):
    """Queue the leader's reply to itself, which counts after the sync."""
    reply = message.AppendReply(
        sender=core.name,
        term=core.term,
        ok=True,
        index=core.log.last_index,
        round=core.lease.round,
    )
    core.send(core.name, reply)


def send_heartbeats(core, now):
    """Start a heartbeat round and resend messages presumed lost."""
    core.lease.start_round(now)
    core.heartbeat_at = now + core.options.heartbeat_interval
    for name, peer in core.peers.items():
        if name != core.name:
            _restart_if_stalled(core, peer, now)
            _send_heartbeat(core, name, peer)
            send_appends(core, name, now)


def _restart_if_stalled(core, peer, now):
    limit = core.options.heartbeat_interval * RESEND_AFTER_HEARTBEATS
    if now >= peer.progress_at + limit:
        if peer.snapshot_transfer is not None:
            snapshot_transfer.resume_transfer(core, peer, now)
        elif peer.in_flight:
            peer.restart_probing(now)


def _send_heartbeat(core, name, peer):
    prev_index = peer.next - 1
    if core.log.find_term(prev_index) is None:
        prev_index = core.log.base_index
    core.send(name, _build_append(core, prev_index, []))


def send_appends(core, name, now):
    """Send ``name`` the entries that it lacks, within the append window."""
    if name == core.name:
        return
    peer = core.peers[name]
    window = 1 if peer.probing else core.options.append_window
    while peer.in_flight < window and peer.snapshot_transfer is None:
        if core.log.find_term(peer.next - 1) is None:
            snapshot_transfer.start_transfer(core, name, now)
            return
        entries = core.log.list_chunk(peer.next, core.options.append_bytes)
        if not entries:
            return
        core.send(name, _build_append(core, peer.next - 1, entries))
        peer.next += len(entries)
        peer.in_flight += 1


def _build_append(core, prev_index, entries):
    return message.AppendRequest(
        sender=core.name,
        term=core.term,
        prev_index=prev_index,
        prev_term=core.log.find_term(prev_index),
        commit=core.commit,
        round=core.lease.round,
        entries=entries,
    )


def follow_leader(core, msg, now):
    """Follow the sender as leader; return False if its term is stale."""
    if msg.term < core.term:
        return False
    if msg.term > core.term or core.role != status.Role.FOLLOWER:
        core.become_follower(msg.term, now, msg.sender)
    core.leader = msg.sender
    core.leader_contact_at = now
    core.reset_election_timer(now)
    return True


def handle_append_request(core, msg, now):
    """Append the entries if the preceding entry matches, and reply."""
    if not follow_leader(core, msg, now):
        _reply(core, msg, ok=False, index=core.commit)
        return
    prev_index, entries = msg.prev_index, msg.entries
    if prev_index < core.log.base_index:
        skipped = core.log.base_index - prev_index
        prev_index, entries = core.log.base_index, entries[skipped:]
    elif core.log.find_term(prev_index) != msg.prev_term:
        _reply(core, msg, ok=False, index=_find_hint(core, prev_index))
        return
    present_count = core.log.find_conflict(prev_index, entries)
    if present_count < len(entries):
        first = prev_index + present_count + 1
        if first <= core.log.last_index:
            core.truncate(first)
        core.append(entries[present_count:])
    matched = max(msg.prev_index + len(msg.entries), core.log.base_index)
    core.commit = max(core.commit, min(msg.commit, matched))
    if matched >= msg.commit and core.log.find_term(msg.commit) == msg.term:
        core.mark_joined()
    _reply(core, msg, ok=True, index=matched)


def _find_hint(core, prev_index):
    if prev_index > core.log.last_index:
        return core.log.last_index
    start = core.log.find_term_start(prev_index)
    return max(start - 1, core.commit)


def _reply(core, msg, *, ok, index):
    reply = message.AppendReply(
        sender=core.name,
        term=core.term,
        ok=ok,
        index=index,
        round=msg.round,
        joined=core.joined,
    )
    core.send(msg.sender, reply)


def record_reply(core, msg, now):
    """Record a reply to the leader; return the sender's progress."""
    if msg.term > core.term:
        core.become_follower(msg.term, now)
        return None
    if not core.is_leader or msg.term != core.term:
        return None
    core.lease.record_ack(msg.sender, msg.round)
    peer = core.peers.get(msg.sender)
    if peer is not None:
        peer.answered_at = now
    return peer


def handle_append_reply(core, msg, now):
    """Advance the sender's progress and the commit index."""
    peer = record_reply(core, msg, now)
    if peer is None:
        return
    if msg.ok:
        peer.accept(msg.index, now)
        snapshot_transfer.finish_transfer(peer)
        advance_commit(core, now)
    elif peer.snapshot_transfer is None:
        if not msg.joined:
            peer.lower_match(msg.index)
        peer.reject(msg.index, now)
    if core.is_leader:
        send_appends(core, msg.sender, now)
        membership.advance_leadership_transfer(core, now)


def advance_commit(core, now):
    """Commit up to the newest entry that a quorum stores.

    Only an entry of the leader's own term is committed this way; it commits
    the entries of older terms with it.
    """
    matches = {
        name: core.peers[name].match if name in core.peers else 0
        for name in core.members.voters
    }
    index = core.members.find_majority_value(matches)
    if index <= core.commit or core.log.find_term(index) != core.term:
        return
    core.commit = index
    core.mark_joined()
    membership.finish_change(core, now)
