"""Redirection to the voters by control instances without a disk.

Such an instance keeps no replica. Like any other process it learns the
members of the quorum from the members and from other control instances.
"""

from bilberryhaven import errors
from bilberryhaven.wire import message as wire_message
from bilberryhaven.wire import server

__all__ = ['LeaderRedirector', 'redirect']

THREADS = 16


def redirect(handle, directory):
    """Return a handler whose ``NotLeaderError`` names a member.

    Args:
        handle: Function from a message to its reply.
        directory: The ``MemberDirectory``.
    """

    def handle_or_redirect(msg):
        try:
            return handle(msg)
        except errors.NotLeaderError as error:
            error.peer = error.peer or directory.choose_member()
            raise

    return handle_or_redirect


class LeaderRedirector:
    """Rejects requests for the leader with the address of a member.

    Args:
        address: HOST:PORT to listen on.
        directory: The ``MemberDirectory``.
    """

    def __init__(self, *, address, directory):
        self._server = server.Server(
            address=address,
            handlers={
                wire_message.WorkRequest: redirect(_reject, directory),
                wire_message.MembersRequest: directory.handle,
            },
            threads=THREADS,
        )

    def start(self):
        """Start listening."""
        self._server.start()

    def stop(self):
        """Stop listening."""
        self._server.stop()


def _reject(request):
    raise errors.NotLeaderError(
        'this instance has no disk and keeps no replica', step='relay'
    )
