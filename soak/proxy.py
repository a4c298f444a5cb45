"""TCP proxy on loopback that delays, resets or mutes connections."""

import enum
import socket
import struct
import threading
import time

__all__ = ['Mode', 'Proxy']

CHUNK_BYTES = 65_536
DELAY_S = 0.3
POLL_INTERVAL_S = 0.05
CONNECT_TIMEOUT_S = 2
# SO_LINGER value that closes a socket with RST instead of FIN.
LINGER_RESET = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """How the proxy treats the bytes that it forwards."""

    PASS = 'pass'
    DELAY = 'delay'
    MUTE_REQUESTS = 'mute requests'
    MUTE_ANSWERS = 'mute answers'
    MUTE = 'mute'


class Proxy:
    """Forwards connections to one address.

    Args:
        listen: (host, port) to listen on.
        target: (host, port) to forward connections to.

    Attributes:
        mode: The ``Mode``; it applies to open connections too.
        address: HOST:PORT that it listens on.
    """

    def __init__(self, *, listen, target):
        self.mode = Mode.PASS
        self._target = target
        self._pairs = set()
        self._to_reset = set()
        self._silent = set()
        self._closed = threading.Event()
        self._listener = socket.create_server(listen, backlog=128)
        self.address = '{}:{}'.format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def reset(self):
        """Reset all open connections."""
        for pair in list(self._pairs):
            self._to_reset.update(pair)
            for sock in pair:
                # Wakes the reading thread, which closes the socket with RST.
                _shut_down(sock, socket.SHUT_RD)

    def silence(self):
        """Forward nothing more on the open connections; new ones work."""
        for pair in list(self._pairs):
            self._silent.update(pair)

    def close(self):
        """Stop listening and reset the open connections."""
        self._closed.set()
        _close(self._listener)
        self.reset()

    def _accept(self):
        while not self._closed.is_set():
            try:
                client, _ = self._listener.accept()
            except OSError:
                # The listener was closed.
                return
            threading.Thread(
                target=self._connect, args=(client,), daemon=True
            ).start()

    def _connect(self, client):
        try:
            upstream = socket.create_connection(
                self._target, CONNECT_TIMEOUT_S
            )
            upstream.settimeout(None)
        except OSError:
            _close(client, reset=True)
            return
        pair = (client, upstream)
        self._pairs.add(pair)
        reply_thread = threading.Thread(
            target=self._forward,
            args=(upstream, client, Mode.MUTE_ANSWERS),
            daemon=True,
        )
        reply_thread.start()
        self._forward(client, upstream, Mode.MUTE_REQUESTS)
        reply_thread.join()
        self._pairs.discard(pair)
        self._to_reset.difference_update(pair)
        self._silent.difference_update(pair)

    def _forward(self, source, sink, mute):
        try:
            while data := source.recv(CHUNK_BYTES):
                if self.mode == Mode.DELAY:
                    time.sleep(DELAY_S)
                while (
                    self.mode in (mute, Mode.MUTE)
                    and not self._closed.is_set()
                ):
                    time.sleep(POLL_INTERVAL_S)
                if source in self._silent:
                    self._closed.wait()
                    break
                sink.sendall(data)
        except OSError:
            # One side was reset; closing both tells the other side.
            pass
        for sock in (sink, source):
            _close(sock, reset=sock in self._to_reset)


def _shut_down(sock, how):
    try:
        sock.shutdown(how)
    except OSError:
        # The socket is closed already.
        pass


def _close(sock, *, reset=False):
    if not reset:
        _shut_down(sock, socket.SHUT_RDWR)
    elif sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    sock.close()
