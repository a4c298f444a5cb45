"""Elections: pre-vote, vote and campaigns requested by the leader."""

from bilberryhaven.consensus import message
from bilberryhaven.consensus import status

__all__ = [
    'handle_pre_vote_reply',
    'handle_pre_vote_request',
    'handle_transfer_request',
    'handle_vote_reply',
    'handle_vote_request',
    'start_pre_vote',
]


def start_pre_vote(core, now):
    """Ask whether a campaign could succeed, without raising the term.

    A replica that was partitioned therefore does not depose a working leader
    when it reconnects.
    """
    core.role = status.Role.CANDIDATE
    core.leader = ''
    core.votes = {}
    core.pre_votes = {core.name: core.joined}
    core.reset_election_timer(now)
    if is_elected(core, core.pre_votes):
        start_campaign(core, now)
        return
    request = message.PreVoteRequest(
        sender=core.name,
        term=core.term,
        last_index=core.log.last_index,
        last_term=core.log.last_term,
    )
    _send_to_voters(core, request)


def start_campaign(core, now, *, transfer=False):
    """Increment the term and request votes."""
    core.role = status.Role.CANDIDATE
    core.leader = ''
    core.votes = {}
    core.pre_votes = {}
    core.set_hard_state(core.term + 1, core.name)
    core.reset_election_timer(now)
    request = message.VoteRequest(
        sender=core.name,
        term=core.term,
        last_index=core.log.last_index,
        last_term=core.log.last_term,
        transfer=transfer,
    )
    _send_to_voters(core, request)
    _send_vote_reply(core, core.name, granted=True)


def handle_pre_vote_request(core, msg, now):
    """Reply whether the vote would be granted."""
    granted = (
        msg.term >= core.term
        and not core.has_leader_contact(now)
        and _is_up_to_date(core, msg)
    )
    reply = message.PreVoteReply(
        sender=core.name,
        term=core.term,
        campaign_term=msg.term + 1,
        granted=granted,
        joined=core.joined,
    )
    core.send(msg.sender, reply)


def handle_pre_vote_reply(core, msg, now):
    """Start the campaign once a quorum would grant its vote."""
    if msg.term > core.term:
        core.become_follower(msg.term, now)
        return
    if core.role != status.Role.CANDIDATE or not core.pre_votes:
        return
    if not msg.granted or msg.campaign_term != core.term + 1:
        return
    core.pre_votes[msg.sender] = msg.joined
    if is_elected(core, core.pre_votes):
        start_campaign(core, now)


def handle_vote_request(core, msg, now):
    """Grant the vote to at most one candidate per term.

    The leader's lease depends on this replica ignoring the request while it
    is in contact with a leader, unless that leader requested the campaign.
    """
    if msg.term < core.term:
        _send_vote_reply(core, msg.sender, granted=False)
        return
    if not msg.transfer and core.has_leader_contact(now):
        return
    if msg.term > core.term:
        core.become_follower(msg.term, now)
    granted = core.vote in ('', msg.sender) and _is_up_to_date(core, msg)
    if granted:
        core.set_hard_state(core.term, msg.sender)
        core.reset_election_timer(now)
    _send_vote_reply(core, msg.sender, granted=granted)


def handle_vote_reply(core, msg, now):
    """Become the leader once a quorum has granted its vote."""
    if msg.term > core.term:
        core.become_follower(msg.term, now)
        return
    if core.role != status.Role.CANDIDATE or msg.term != core.term:
        return
    if msg.granted and not core.pre_votes:
        core.votes[msg.sender] = msg.joined
        if is_elected(core, core.votes):
            core.become_leader(now)


def is_elected(core, votes):
    """Return whether ``votes`` elect the candidate.

    A voter with a new folder may have lost an older one, and with it entries
    that it had acknowledged. Its vote counts only if all voters grant their
    votes, which is how the first leader is elected.

    Args:
        core: The candidate's ``Core``.
        votes: The ``joined`` flag of each voter that granted its vote, by
            name.
    """
    joined = [name for name, flag in votes.items() if flag]
    return core.members.is_quorum(joined) or (
        core.members.voters.keys() <= votes.keys()
    )


def handle_transfer_request(core, msg, now):
    """Campaign at once, since the leader transfers its leadership."""
    if msg.term != core.term or msg.sender != core.leader:
        return
    if core.role == status.Role.FOLLOWER and core.name in core.members.voters:
        start_campaign(core, now, transfer=True)


def _is_up_to_date(core, msg):
    own = (core.log.last_term, core.log.last_index)
    return (msg.last_term, msg.last_index) >= own


def _send_vote_reply(core, to, *, granted):
    reply = message.VoteReply(
        sender=core.name,
        term=core.term,
        granted=granted,
        joined=core.joined,
    )
    core.send(to, reply)


def _send_to_voters(core, msg):
    for name in core.members.voters:
        if name != core.name:
            core.send(name, msg)
