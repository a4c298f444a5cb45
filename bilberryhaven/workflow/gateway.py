"""Callers' and operators' way to the leader, from any process."""

from bilberryhaven import errors
from bilberryhaven.wire import message as wire_message
from bilberryhaven.workflow import message

__all__ = ['Gateway']


class Gateway:
    """Sends requests about workflows to the leader.

    Every request may be repeated: a workflow is known by its id, a catalog
    by its version.

    Args:
        leader: A ``LeaderClient``.
    """

    def __init__(self, *, leader):
        self._leader = leader

    def send(self, request, *, timeout, step):
        """Return the reply to ``request``.

        Args:
            request: A request of ``workflow.message``.
            timeout: Longest wait as a timedelta.
            step: What it is for, named in errors.

        Raises:
            UnavailableError: No leader answered in time; ``outcome`` says
                whether the request may have been carried out.
            BilberryhavenError: The leader refused.
        """
        wrapped = wire_message.WorkRequest(body=message.encode(request))
        reply = self._leader.send(wrapped, timeout=timeout, step=step)
        if not isinstance(reply, wire_message.WorkReply):
            raise errors.PeerError(
                f'answered {type(reply).__name__}', step=step
            )
        return message.decode_reply(reply.body)
