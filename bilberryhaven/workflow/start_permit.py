"""Whether an agent may still send the starts that it was ordered to send.

Starts may wait on an agent while its backend server doesn't answer, or while
the agent is cut off from the leader. Meanwhile an operator may withdraw the
server's availability zone.
"""

__all__ = ['StartPermit']


class StartPermit:
    """Tracks whether the newest answer of the leader permits starts.

    Not thread-safe.

    Args:
        validity: How long an answer permits starts, a timedelta; None for
            as long as the lease lasts.
    """

    def __init__(self, *, validity):
        self._validity = validity
        self._withdrawn = False
        self._polled_at = None

    def update(self, reply, sent_at):
        """Apply a ``PollReply``.

        Args:
            reply: The ``PollReply``.
            sent_at: Monotonic time at which the poll was sent.
        """
        self._withdrawn = reply.withdrawn
        self._polled_at = sent_at

    def find_refusal(self, now):
        """Return why no start may be sent, or an empty string.

        Args:
            now: Monotonic time.
        """
        if self._withdrawn:
            return 'the availability zone is withdrawn'
        if self._validity is None or self._polled_at is None:
            return ''
        if now - self._polled_at >= self._validity:
            return 'the leader has not confirmed the order recently'
        return ''
