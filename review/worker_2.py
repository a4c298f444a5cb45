"""Stand-in of a worker, as PROTOCOL.md describes it, in a process of its own.

A spec is the time in seconds that each of its tasks works. Events are written
to the standard output as JSON, one a line, with the steady clock of the host.
Lines on the standard input: ``refuse SHARE`` lets it answer that share of the
starts with 503 and do nothing, ``drain MS`` lets it say that it leaves.
"""

import argparse
import http.server
import json
import random
import socketserver
import sys
import threading
import time
import urllib.request

CHECK_S = 0.01
MAX_WAIT_MS = 2000
MAX_ENDS = 500


class Worker:
    """Runs, ends and lease of one life.

    Args:
        args: The options of the command line.
    """

    def __init__(self, args):
        self.args = args
        self.born = int(time.time() * 1000)
        self.condition = threading.Condition()
        self.refused_share = 0.0
        self.drains_at = None
        self._origin = time.monotonic()
        self._deadline_ms = 0
        self._fence = 0
        self._runs = {}
        self._ends = []
        self._count = 0
        self._highest = {}
        self._random = random.Random(args.id)

    def read_clock_ms(self):
        """Return the worker's own steady clock."""
        return int((time.monotonic() - self._origin) * 1000)

    def record(self, what, **fields):
        """Write an event down."""
        event = {'at': time.monotonic(), 'worker': self.args.id, 'what': what}
        print(json.dumps({**event, **fields}), flush=True)

    def advance(self):
        """End what is done, stopped or without a lease."""
        lapsed = 0 < self._deadline_ms <= self.read_clock_ms()
        now = time.monotonic()
        for task, run in list(self._runs.items()):
            how = 'lapsed' if lapsed else self.find_end(task, run, now)
            if how:
                self._end(task, how)

    def find_end(self, task, run, now):
        """Return how a run ends now, or an empty string."""
        if now >= run['stops_at']:
            return 'stopped'
        return 'done' if now >= run['ends_at'] else ''

    def find_saved(self, run):
        """Return the newest checkpoint of a run."""
        return run['given']

    def _end(self, task, how):
        run = self._runs.pop(task)
        self._count += 1
        saved = '' if how == 'done' else self.find_saved(run)
        self._ends.append([self._count, task, run['run'], how, saved])
        self._highest[task] = max(self._highest.get(task, 0), run['run'])
        self.record('end', task=task, run=run['run'], how=how)
        self.condition.notify_all()

    def _is_fenced(self, fields):
        if fields.get('fencing_token', 0) < self._fence:
            return True
        self._fence = fields.get('fencing_token', 0)
        return False

    def _extend(self, fields):
        asked_ms = fields.get('deadline_ms', 0)
        latest_ms = self.read_clock_ms() + self.args.max_lease_ms
        self._deadline_ms = max(self._deadline_ms, min(asked_ms, latest_ms))

    def start(self, fields):
        """Handle ``/run-start``."""
        task, number = fields['task'], fields['run']
        if self._random.random() < self.refused_share:
            self.record('refuse', task=task, run=number)
            return 503, {}
        if self._is_fenced(fields):
            return 409, {'reason': 'fence'}
        known = self._runs.get(task)
        if known is not None and known['run'] == number:
            self._extend(fields)
            return 200, {}
        if known is not None or number <= self._highest.get(task, 0):
            self._extend(fields)
            return 409, {'reason': 'old'}
        if fields['deadline_ms'] <= self.read_clock_ms():
            return 409, {'reason': 'late'}
        self._extend(fields)
        now = time.monotonic()
        work_s = float(fields['spec'].split()[0])
        self._runs[task] = {
            'run': number,
            'began_at': now,
            'work_s': work_s,
            'ends_at': now + work_s,
            'stops_at': float('inf'),
            'given': fields.get('checkpoint', ''),
            'spec': fields['spec'],
        }
        given = fields.get('checkpoint', '')
        self.record('begin', task=task, run=number, checkpoint=given)
        return 200, {}

    def stop(self, fields):
        """Handle ``/run-stop``."""
        if self._is_fenced(fields):
            return 409, {'reason': 'fence'}
        task, number = fields['task'], fields['run']
        known = self._runs.get(task)
        if known is not None and known['run'] <= number:
            known['stops_at'] = time.monotonic()
        self._highest[task] = max(self._highest.get(task, 0), number)
        return 200, {}

    def hold(self, fields):
        """Handle ``/hold``; wait for an end if asked to."""
        if self._is_fenced(fields):
            return 409, {'reason': 'fence'}
        self._extend(fields)
        upto = fields.get('ack_cursor', 0)
        self._ends = [end for end in self._ends if end[0] > upto]
        wait_s = min(fields.get('wait_ms', 0), MAX_WAIT_MS) / 1000
        if wait_s and not self._ends:
            self.condition.wait_for(lambda: self._ends, wait_s)
        now = time.monotonic()
        running = [
            [
                task,
                run['run'],
                self.find_saved(run),
                int(100 * (now - run['began_at']) / run['work_s']),
                0,
            ]
            for task, run in self._runs.items()
        ]
        ends = self._ends[:MAX_ENDS]
        return 200, {'running': running, 'finished': ends}

    def run(self):
        """Work, and send heartbeats, until the process is ended."""
        for target in (self._beat, self._read_lines):
            threading.Thread(target=target, daemon=True).start()
        while True:
            time.sleep(CHECK_S)
            with self.condition:
                self.advance()

    def _read_lines(self):
        for line in sys.stdin:
            word, value = line.split()
            with self.condition:
                if word == 'refuse':
                    self.refused_share = float(value)
                elif word == 'drain':
                    self.drains_at = time.monotonic() + float(value) / 1000

    def _beat(self):
        sequence = 0
        while True:
            sequence += 1
            body = {
                'service': 'desk',
                'address': self.args.announce or self.args.listen,
                'zone': self.args.zone,
                'version': 'v1',
                'slots': 8,
                'state': 'draining' if self.drains_at else 'ready',
                'cold_remaining_ms': 0,
                'capacity': {'cpu': self.args.cpu, 'mem_mb': 64000, 'gpu': 0},
                'labels': [self.args.kind, self.args.rack],
                'clock_ms': self.read_clock_ms(),
                'sequence': sequence,
                'born': self.born,
            }
            if self.drains_at:
                left_s = self.drains_at - time.monotonic()
                body['remaining_ms'] = max(0, int(left_s * 1000))
            request = urllib.request.Request(
                f'http://{self.args.agent}/Instances.Heartbeat/{self.args.id}',
                data=json.dumps(body).encode(),
                headers={'Content-Type': 'application/json'},
            )
            pause_s = self.args.heartbeat_ms / 1000
            try:
                urllib.request.urlopen(request, timeout=1).close()
            except OSError:
                pause_s = 0.2
            time.sleep(pause_s)


class Handler(http.server.BaseHTTPRequestHandler):
    """Calls of the agent; subclasses set ``worker``."""

    worker = None
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def do_POST(self):  # noqa: N802
        """Answer a call."""
        worker = self.worker
        data = self.rfile.read(int(self.headers.get('Content-Length', 0)))
        calls = {
            '/run-start': worker.start,
            '/run-stop': worker.stop,
            '/hold': worker.hold,
            '/pace': lambda fields: (200, {}),
        }
        expected = self.headers.get('X-Expected-Instance', worker.args.id)
        if expected != worker.args.id:
            status, answer = 421, {}
        else:
            with worker.condition:
                worker.advance()
                status, answer = calls[self.path](json.loads(data))
        answer = {
            'clock_ms': worker.read_clock_ms(),
            'born': worker.born,
            **answer,
        }
        body = json.dumps(answer).encode()
        try:
            self.send_response(status)
            self.send_header('Content-Type', 'application/json')
            self.send_header('Content-Length', str(len(body)))
            if worker.args.closes:
                self.send_header('Connection', 'close')
            self.end_headers()
            self.wfile.write(body)
        except OSError:
            self.close_connection = True

    def log_message(self, *args):
        """Log nothing."""


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    """A thread for each connection."""

    daemon_threads = True
    request_queue_size = 64
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        """Take a connection that was closed for a matter of course."""


def main(kind=Worker):
    """Run one life of a worker.

    Args:
        kind: Its class.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument('--folder', default='')
    parser.add_argument('--announce', default='')
    parser.add_argument('--closes', action='store_true')
    for name in ('id', 'zone', 'rack', 'listen', 'agent'):
        parser.add_argument(f'--{name}', required=True)
    parser.add_argument('--kind', default='a')
    parser.add_argument('--cpu', type=int, default=4000)
    parser.add_argument('--heartbeat-ms', type=int, default=1500)
    parser.add_argument('--max-lease-ms', type=int, default=10_000)
    worker = kind(parser.parse_args())
    host, _, port = worker.args.listen.partition(':')
    handler = type('WorkerHandler', (Handler,), {'worker': worker})
    server = Server((host, int(port)), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    worker.record('born', born=worker.born)
    worker.run()


if __name__ == '__main__':
    main()
