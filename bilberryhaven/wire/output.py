"""Writing to a connection without waiting for its peer to read."""

import socket

__all__ = ['Writer']

# Parts that are joined rather than passed to the operating system singly.
MAX_JOINED_BYTES = 16 * 1024


class Writer:
    """Collects a response and sends what the peer takes.

    What it doesn't take at once is kept, and sent by ``flush`` when the
    connection can be written to again.

    Args:
        sock: The connected socket; it must not block.
    """

    def __init__(self, sock):
        self._sock = sock
        self._parts = []

    @property
    def kept_bytes(self):
        """Number of bytes that have not been sent."""
        return sum(len(part) for part in self._parts)

    def write(self, data):
        """Keep ``data`` until ``flush``."""
        if data:
            self._parts.append(data)
        return len(data)

    def flush(self):
        """Send what the peer takes; return whether that was everything.

        Raises:
            OSError: The connection has failed.
        """
        parts = self._parts
        while parts:
            if len(parts) > 1 and self.kept_bytes <= MAX_JOINED_BYTES:
                parts[:] = [b''.join(parts)]
            try:
                count = self._sock.send(parts[0], socket.MSG_NOSIGNAL)
            except (BlockingIOError, InterruptedError):
                return False
            if count == len(parts[0]):
                del parts[0]
            else:
                parts[0] = memoryview(parts[0])[count:]
        return True

    def clear(self):
        """Discard what has not been sent."""
        self._parts.clear()
