"""Proxy before a worker that can hold calls up, in a process of its own.

It listens where the worker is announced and passes each connection on to the
worker's own port. A call that is held up is passed on later, also if its
sender has given it up meanwhile, and to whatever listens at the port by then.
Lines on the standard input: ``hold PATH`` holds up the calls of this path that
begin a connection, ``release ALL`` passes them on and holds no more.
"""

import contextlib
import json
import socket
import sys
import threading
import time

READ_BYTES = 65536
LONGEST_HOLD_S = 10


class Proxy:
    """Passes connections on.

    Args:
        listen: HOST:PORT at which the agent calls.
        target: HOST:PORT of the worker.
    """

    def __init__(self, listen, target):
        self._target = _parse(target)
        self._held_path = ''
        self._release = threading.Event()
        self._lock = threading.Lock()
        self._listener = socket.create_server(_parse(listen), backlog=64)

    def run(self):
        """Accept connections until the process is ended."""
        threading.Thread(target=self._read_lines, daemon=True).start()
        while True:
            client, _ = self._listener.accept()
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(client,), daemon=True
            ).start()

    def _read_lines(self):
        for line in sys.stdin:
            word, path = line.split()
            if word == 'hold':
                self._release.clear()
                self._held_path = path
            else:
                self._held_path = ''
                self._release.set()

    def _serve(self, client):
        with contextlib.suppress(OSError), client:
            data = client.recv(READ_BYTES)
            path = data.split(b' ')[1].decode() if data else ''
            if path and path == self._held_path:
                self._record('hold', path=path)
                self._release.wait(LONGEST_HOLD_S)
                self._record('pass on', path=path)
            if data:
                self._pass_on(client, data)

    def _record(self, what, **fields):
        event = {'at': time.monotonic(), 'what': what, **fields}
        with self._lock:
            print(json.dumps(event), flush=True)

    def _pass_on(self, client, data):
        with socket.create_connection(self._target, timeout=5) as worker:
            worker.settimeout(None)
            worker.sendall(data)
            back = threading.Thread(
                target=_copy, args=(worker, client), daemon=True
            )
            back.start()
            _copy(client, worker)
            back.join(LONGEST_HOLD_S)


def _copy(source, sink):
    with contextlib.suppress(OSError):
        while data := source.recv(READ_BYTES):
            sink.sendall(data)
    with contextlib.suppress(OSError):
        sink.shutdown(socket.SHUT_WR)


def _parse(address):
    host, _, port = address.partition(':')
    return host, int(port)


if __name__ == '__main__':
    Proxy(*sys.argv[1:]).run()
