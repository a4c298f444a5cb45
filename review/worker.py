"""Stand-in of a worker, a process of its own, after the users' pages.

It writes each start and end as a line of JSON to a file.
"""

import argparse
import http.client
import http.server
import json
import math
import pathlib
import re
import socketserver
import threading
import time

CHECK_INTERVAL_S = 0.02
MAX_WAIT_MS = 2_000
MAX_LEASE_MS = 10_000
MAX_ENDS = 500
GANG_TIMEOUT_S = 3.0
CALL_TIMEOUT_S = 1.0


class Model:
    """Runs, ends and lease of one life of a worker.

    Args:
        events: Path of the file for starts and ends.
        gangs: Path of the folder in which the workers tell each other which
            members of a gang are present, and that one has ended.
        worker_id: Id of the worker.
    """

    def __init__(self, *, events, gangs, worker_id):
        self.born = int(time.time() * 1000)
        self.condition = threading.Condition()
        self._id = worker_id
        self._events = events
        self._gangs = pathlib.Path(gangs)
        self._origin = time.monotonic()
        self._runs = {}
        self._ends = []
        self._newest_run = {}
        self._fence = 0
        self._deadline_ms = 0
        self._number = 0

    def read_clock_ms(self):
        """Return the worker's own steady clock in milliseconds."""
        return int((time.monotonic() - self._origin) * 1000)

    def write(self, what, **fields):
        """Write an event down."""
        event = {
            'at': round(time.time(), 3),
            'worker': self._id,
            'born': self.born,
            'what': what,
            **fields,
        }
        with open(self._events, 'a') as file:
            file.write(json.dumps(event) + '\n')

    def advance(self):
        """End the runs that are done, or whose lease has expired."""
        now = time.monotonic()
        if self._runs and self.read_clock_ms() >= self._deadline_ms:
            for task in list(self._runs):
                self._end(task, 'lapsed')
        for task, run in list(self._runs.items()):
            if run['gang']:
                self._advance_member(task, run, now)
            elif now >= run['began_at'] + run['length']:
                self._end(task, 'done')

    def _advance_member(self, task, run, now):
        """End or begin the run of a member of a gang."""
        folder = self._find_gang(task, run['run'])
        if (folder / 'done').exists():
            self._end(task, 'done')
        elif (folder / 'broken').exists():
            self._end(task, 'broken')
        elif run['began_at'] is None:
            if len(list(folder.glob('member-*'))) == run['gang']:
                run['began_at'] = now
            elif now >= run['came_at'] + GANG_TIMEOUT_S:
                self._end(task, 'alone')
        elif now >= run['began_at'] + run['length']:
            self._end(task, 'done')

    def _find_gang(self, task, number):
        step = task.rpartition('.')[0]
        return self._gangs / f'{step}.{number}'

    def _end(self, task, how):
        run = self._runs.pop(task)
        self._number += 1
        self._ends.append([self._number, task, run['run'], how, ''])
        self.write('end', task=task, run=run['run'], how=how)
        if run['gang']:
            mark = 'done' if how == 'done' else 'broken'
            (self._find_gang(task, run['run']) / mark).touch()
        self.condition.notify_all()

    def _admit(self, fields):
        token = fields.get('fencing_token', 0)
        if token < self._fence:
            return False
        self._fence = token
        return True

    def _extend(self, deadline_ms):
        latest = self.read_clock_ms() + MAX_LEASE_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, latest))

    def start(self, fields):
        """Handle ``/run-start``; return (status, fields)."""
        if not self._admit(fields):
            return 409, {'reason': 'fence'}
        task, number = fields['task'], fields['run']
        known = self._runs.get(task)
        if known is not None and known['run'] == number:
            self._extend(fields['deadline_ms'])
            return 200, {}
        if number <= self._newest_run.get(task, 0) or known is not None:
            self._extend(fields['deadline_ms'])
            return 409, {'reason': 'old'}
        if fields['deadline_ms'] <= self.read_clock_ms():
            return 409, {'reason': 'late'}
        self._extend(fields['deadline_ms'])
        self._newest_run[task] = number
        length, gang, tail_ms = _read_spec(fields['spec'])
        now = time.monotonic()
        self._runs[task] = {
            'run': number,
            'came_at': now,
            'began_at': None if gang else now,
            'length': length,
            'gang': gang,
            'tail_ms': tail_ms,
        }
        if gang:
            folder = self._find_gang(task, number)
            folder.mkdir(parents=True, exist_ok=True)
            index = task.rpartition('.')[2]
            (folder / f'member-{index}@{self._id}').touch()
        self.write('start', task=task, run=number, spec=fields['spec'])
        return 200, {}

    def stop(self, fields):
        """Handle ``/run-stop``."""
        if not self._admit(fields):
            return 409, {'reason': 'fence'}
        task, number = fields['task'], fields['run']
        self._newest_run[task] = max(self._newest_run.get(task, 0), number)
        known = self._runs.get(task)
        if known is not None and known['run'] <= number:
            self._end(task, 'stopped')
        return 200, {}

    def hold(self, fields):
        """Handle ``/hold``; wait for an end if asked to."""
        if not self._admit(fields):
            return 409, {'reason': 'fence'}
        if 'deadline_ms' in fields:
            self._extend(fields['deadline_ms'])
        upto = fields.get('ack_cursor', 0)
        self._ends = [end for end in self._ends if end[0] > upto]
        wait_ms = min(fields.get('wait_ms', 0), MAX_WAIT_MS)
        until = time.monotonic() + wait_ms / 1000
        while not self._ends and time.monotonic() < until:
            self.condition.wait(until - time.monotonic())
        return 200, {
            'running': [self._list_run(task) for task in self._runs],
            'finished': self._ends[:MAX_ENDS],
        }

    def _list_run(self, task):
        run = self._runs[task]
        percent = 0
        if run['began_at'] is not None:
            passed = time.monotonic() - run['began_at']
            share = 1 if run['length'] == math.inf else passed / run['length']
            percent = min(int(100 * share), 100)
        return [task, run['run'], '', percent, run['tail_ms']]


def _read_spec(spec):
    """Return what a spec says of its task.

    Returns:
        How long it runs in seconds, the size of its gang, and its tail
        latency in ms.
    """
    length = re.match(r'runs ([0-9.]+) s', spec)
    gang = re.search(r'([0-9]+) together', spec)
    tail = re.search(r'tail ([0-9]+) ms', spec)
    return (
        float(length[1]) if length else math.inf,
        int(gang[1]) if gang else 0,
        int(tail[1]) if tail else 0,
    )


class _Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 64


def _build_handler(model, worker_id):
    calls = {
        '/run-start': model.start,
        '/run-stop': model.stop,
        '/hold': model.hold,
        '/pace': lambda fields: (200, {}),
    }

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = 'HTTP/1.1'
        disable_nagle_algorithm = True

        def do_GET(self):  # noqa: N802
            self._answer(200 if self.path == '/healthz' else 404, {})

        def do_POST(self):  # noqa: N802
            length = int(self.headers.get('Content-Length', 0))
            body = self.rfile.read(length)
            expected = self.headers.get('X-Expected-Instance', worker_id)
            if expected != worker_id:
                self._answer(421, {})
                return
            handle = calls.get(self.path)
            if handle is None:
                self._answer(404, {})
                return
            with model.condition:
                model.advance()
                status, fields = handle(json.loads(body))
            self._answer(status, fields)

        def _answer(self, status, fields):
            fields = {
                'clock_ms': model.read_clock_ms(),
                'born': model.born,
                **fields,
            }
            data = json.dumps(fields).encode()
            self.send_response(status)
            self.send_header('Content-Type', 'application/json')
            self.send_header('Content-Length', str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def log_message(self, *args):
            pass

    return Handler


def _send_heartbeats(args, model):
    sequence = 0
    while True:
        sequence += 1
        body = {
            'service': args.service,
            'address': args.listen,
            'zone': args.zone,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'capacity': {'cpu': args.cpu, 'mem_mb': args.memory_mb, 'gpu': 0},
            'labels': args.labels.split(','),
            'clock_ms': model.read_clock_ms(),
            'sequence': sequence,
            'born': model.born,
        }
        acked = _post(args.agent, f'/Instances.Heartbeat/{args.id}', body)
        if sequence == 1:
            model.write('first heartbeat', acked=acked)
        time.sleep(args.heartbeat_ms / 1000 if acked else 0.2)


def _post(address, path, body):
    host, _, port = address.partition(':')
    connection = http.client.HTTPConnection(
        host, int(port), timeout=CALL_TIMEOUT_S
    )
    try:
        connection.request(
            'POST',
            path,
            json.dumps(body),
            {'Content-Type': 'application/json'},
        )
        return 200 <= connection.getresponse().status < 300
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


def main():
    """Run one life of a worker until the process is ended."""
    parser = argparse.ArgumentParser()
    for name in (
        'id',
        'zone',
        'service',
        'listen',
        'agent',
        'events',
        'gangs',
    ):
        parser.add_argument(f'--{name}', required=True)
    parser.add_argument('--cpu', type=int, default=16_000)
    parser.add_argument('--memory-mb', type=int, default=64_000)
    parser.add_argument('--labels', default='a,r1-1')
    parser.add_argument('--heartbeat-ms', type=int, default=1_500)
    args = parser.parse_args()
    model = Model(events=args.events, gangs=args.gangs, worker_id=args.id)
    host, _, port = args.listen.partition(':')
    server = _Server((host, int(port)), _build_handler(model, args.id))
    threading.Thread(target=server.serve_forever, daemon=True).start()
    threading.Thread(
        target=_send_heartbeats, args=(args, model), daemon=True
    ).start()
    while True:
        time.sleep(CHECK_INTERVAL_S)
        with model.condition:
            model.advance()


if __name__ == '__main__':
    main()
