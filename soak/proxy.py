"""Loopback proxy that delays, resets or silences connections."""

import enum
import socket
import struct
import threading
import time

__all__ = ['Mode', 'Proxy']

CHUNK = 65_536
DELAY_SECONDS = 0.3
POLL_SECONDS = 0.05
CONNECT_SECONDS = 2
# Closes a socket with a reset instead of an orderly end.
RESET = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """What the proxy does to the bytes that pass it."""

    PASS = 'pass'
    DELAY = 'delay'
    MUTE_REQUESTS = 'mute requests'
    MUTE_ANSWERS = 'mute answers'


class Proxy:
    """Passes connections on to one address.

    Args:
        listen: (host, port) to listen on.
        target: (host, port) to pass connections on to.
    """

    def __init__(self, *, listen, target):
        self.mode = Mode.PASS
        self._target = target
        self._pairs = set()
        self._doomed = set()
        self._closed = threading.Event()
        self._listener = socket.create_server(listen, backlog=128)
        self.address = '{}:{}'.format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def reset(self):
        """Reset all open connections."""
        for pair in list(self._pairs):
            self._doomed.update(pair)
            for end in pair:
                # Wakes the thread that reads; it closes with a reset.
                _shut_down(end, socket.SHUT_RD)

    def close(self):
        """Stop listening and reset what is open."""
        self._closed.set()
        _close(self._listener)
        self.reset()

    def _accept(self):
        while not self._closed.is_set():
            try:
                near, _ = self._listener.accept()
            except OSError:
                # The listener was closed.
                return
            threading.Thread(
                target=self._connect, args=(near,), daemon=True
            ).start()

    def _connect(self, near):
        try:
            far = socket.create_connection(self._target, CONNECT_SECONDS)
            far.settimeout(None)
        except OSError:
            _close(near, reset=True)
            return
        pair = (near, far)
        self._pairs.add(pair)
        back = threading.Thread(
            target=self._pump, args=(far, near, Mode.MUTE_ANSWERS), daemon=True
        )
        back.start()
        self._pump(near, far, Mode.MUTE_REQUESTS)
        back.join()
        self._pairs.discard(pair)
        self._doomed.difference_update(pair)

    def _pump(self, source, sink, mute):
        try:
            while data := source.recv(CHUNK):
                if self.mode == Mode.DELAY:
                    time.sleep(DELAY_SECONDS)
                while self.mode == mute and not self._closed.is_set():
                    time.sleep(POLL_SECONDS)
                sink.sendall(data)
        except OSError:
            # Either side was reset; the other learns it now.
            pass
        for end in (sink, source):
            _close(end, reset=end in self._doomed)


def _shut_down(end, how):
    try:
        end.shutdown(how)
    except OSError:
        # It was closed before.
        pass


def _close(end, *, reset=False):
    if not reset:
        _shut_down(end, socket.SHUT_RDWR)
    elif end.fileno() >= 0:
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    end.close()
