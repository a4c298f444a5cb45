"""Snapshot transfer in parts to a replica that needs compacted entries."""

import zlib

from bilberryhaven.consensus import effects as core_effects
from bilberryhaven.consensus import message
from bilberryhaven.consensus import progress
from bilberryhaven.consensus import replication

__all__ = [
    'finish_transfer',
    'handle_snapshot_reply',
    'handle_snapshot_request',
    'resume_transfer',
    'start_transfer',
]


def start_transfer(core, name, now):
    """Start to send the newest snapshot to ``name``."""
    peer = core.peers[name]
    if core.snapshot is None:
        return
    peer.snapshot_transfer = progress.SnapshotTransfer(meta=core.snapshot)
    peer.progress_at = now
    _send_part(core, name, peer)


def resume_transfer(core, peer, now):
    """Resend the next part.

    Starts again with the newest snapshot if the one being sent was removed.
    """
    kept_indexes = {meta.index for meta in core.snapshots}
    if peer.snapshot_transfer.meta.index not in kept_indexes:
        peer.snapshot_transfer = progress.SnapshotTransfer(meta=core.snapshot)
    peer.progress_at = now
    for name, candidate in core.peers.items():
        if candidate is peer:
            _send_part(core, name, peer)


def _send_part(core, name, peer):
    request = message.SnapshotRequest(
        sender=core.name,
        term=core.term,
        round=core.lease.round,
        meta=peer.snapshot_transfer.meta,
        offset=peer.snapshot_transfer.offset,
    )
    core.send(name, request)


def finish_transfer(peer):
    """End the transfer once the replica holds the entries that it covers."""
    sent = peer.snapshot_transfer
    if sent is not None and peer.match >= sent.meta.index:
        peer.snapshot_transfer = None
        peer.in_flight = 0


def handle_snapshot_reply(core, msg, now):
    """Send the next part."""
    peer = replication.record_reply(core, msg, now)
    if peer is None or peer.snapshot_transfer is None:
        return
    sent = peer.snapshot_transfer
    if msg.index != sent.meta.index or msg.offset == sent.offset:
        return
    sent.offset = msg.offset
    peer.progress_at = now
    _send_part(core, msg.sender, peer)


def handle_snapshot_request(core, msg, now):
    """Collect the parts; install the snapshot when it is complete."""
    if not replication.follow_leader(core, msg, now):
        _send_append_reply(core, msg, ok=False)
        return
    if _is_covered(core, msg.meta):
        core.commit = max(core.commit, msg.meta.index)
        _send_append_reply(core, msg, ok=True)
        return
    incoming_snapshot = core.incoming_snapshot
    if incoming_snapshot is None or incoming_snapshot.meta != msg.meta:
        incoming_snapshot = core_effects.Snapshot(
            meta=msg.meta, data=bytearray()
        )
        core.incoming_snapshot = incoming_snapshot
    if msg.offset == len(incoming_snapshot.data):
        incoming_snapshot.data += msg.data
    if len(incoming_snapshot.data) < msg.meta.size:
        _send_offset(core, msg, len(incoming_snapshot.data))
        return
    core.incoming_snapshot = None
    if zlib.crc32(incoming_snapshot.data) != msg.meta.crc:
        _send_offset(core, msg, 0)
        return
    incoming_snapshot.data = bytes(incoming_snapshot.data)
    core.install(incoming_snapshot)
    _send_append_reply(core, msg, ok=True)


def _is_covered(core, meta):
    if meta.index <= core.commit:
        return True
    return core.log.find_term(meta.index) == meta.term


def _send_offset(core, msg, offset):
    reply = message.SnapshotReply(
        sender=core.name,
        term=core.term,
        round=msg.round,
        index=msg.meta.index,
        offset=offset,
    )
    core.send(msg.sender, reply)


def _send_append_reply(core, msg, *, ok):
    reply = message.AppendReply(
        sender=core.name,
        term=core.term,
        ok=ok,
        index=max(core.commit, msg.meta.index) if ok else core.commit,
        round=msg.round,
    )
    core.send(msg.sender, reply)
