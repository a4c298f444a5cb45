"""Worker of the rig: a process of its own that records all that it does.

Times are of the steady clock of the host, which all processes share. Lines on
the standard input set how it treats calls: ``MODE SHARE SECONDS``, with the
modes ``late`` (orders are carried out seconds later), ``hang``, ``mute`` (no
answer), ``busy``, ``reset`` and ``slow``; ``cut 1 0`` closes all connections,
``silence 1 0`` leaves them open and silent for good, ``unheard 1 SECONDS``
loses its heartbeats and deregistration, and ``drain HOW SECONDS`` lets the
worker leave. ``MODES`` has those that treat other calls as well, or only some:
``shed`` rejects starts, ``fail`` lets the runs that it starts fail.

Besides what the stand-in reads, a spec may say ``saves`` (its runs have
checkpoints) and ``fails SHARE`` (that share of its runs fails).
"""

import argparse
import contextlib
import http.server
import json
import math
import os
import random
import re
import socket
import sys
import threading
import time

from review import worker as stand_in

LATE_RANGE_S = (2.0, 12.0)
HANG_S = 20.0
SLOW_S = 0.35
FAIL_S = 0.5
MS_PER_S = 1000
ORDERS = ('/run-start', '/run-stop')
GRANTS = ('/hold',)
# How long grants come late: about as long as a lease, so that some of them
# still extend one.
LATE_GRANT_RANGE_S = (0.2, 7.0)
# Mode: (treatment, paths of the calls that it applies to).
MODES = {
    'late': ('late', ORDERS),
    'late-grants': ('late', GRANTS),
    'late-all': ('late', ORDERS + GRANTS),
    'lost-grants': ('lose', GRANTS),
    'lost-acks': ('lose', GRANTS),
    'lost-all': ('lose', ORDERS + GRANTS),
    'shed': ('shed', ('/run-start',)),
    'fail': ('fail', ('/run-start',)),
}
CLOSE_INTERVAL_S = 0.15
STATUS_UNHEALTHY = 503


class Model(stand_in.Model):
    """Runs, ends and lease of one life of a worker.

    Args:
        clock_rate: Speed of its own clock relative to the host's.
        stop_s: Longest time that a stop takes, in seconds.
        save_s: Seconds of work between two checkpoints.
        restore_s: Seconds until a run goes on from a checkpoint.
        choices: Source of random choices.
        **kwargs: Those of the base class.
    """

    def __init__(
        self,
        *,
        clock_rate,
        stop_s=0.0,
        save_s=2.0,
        restore_s=0.0,
        choices=random,
        **kwargs,
    ):
        super().__init__(**kwargs)
        self._rate = clock_rate
        self._stop_s = stop_s
        self._save_s = save_s
        self._restore_s = restore_s
        self._choices = choices
        self._acked = 0
        self._lapse_noted = 0

    def read_clock_ms(self):
        """Return the worker's own steady clock in milliseconds."""
        return int((time.monotonic() - self._origin) * 1000 * self._rate)

    def find_lapse_at(self):
        """Return the time of the host's clock at which the lease expires."""
        return self._origin + self._deadline_ms / 1000 / self._rate

    def write(self, what, **fields):
        """Write an event down."""
        event = {
            'at': time.monotonic(),
            'worker': self._id,
            'born': self.born,
            'what': what,
            **fields,
        }
        with open(self._events, 'a') as file:
            file.write(json.dumps(event) + '\n')

    def _extend(self, deadline_ms):
        known_ms = self._deadline_ms
        super()._extend(deadline_ms)
        if self._deadline_ms > known_ms:
            self.write('lease', until=self.find_lapse_at())

    def advance(self):
        """End the runs that are done, or whose lease has expired."""
        expired = 0 < self._deadline_ms <= self.read_clock_ms()
        if expired and self._lapse_noted < self._deadline_ms:
            self._lapse_noted = self._deadline_ms
            self.write('lapse', at=self.find_lapse_at())
        now = time.monotonic()
        for task, run in list(self._runs.items()) if not expired else ():
            if now >= run.get('stops_at', math.inf):
                self._end(task, 'stopped')
            elif now >= run.get('fails_at', math.inf):
                self._end(task, 'failed')
        super().advance()

    def start(self, fields, *, fails=False):
        """Handle ``/run-start``; the run may go on from a checkpoint.

        Args:
            fields: The call.
            fails: Whether the run fails soon.
        """
        task = fields['task']
        known = self._runs.get(task)
        status, answer = super().start(fields)
        run = self._runs.get(task)
        if status == 200 and run is not known:
            self._prepare(run, fields, fails)
        return status, answer

    def _prepare(self, run, fields, fails):
        run['saves'] = 'saves' in fields['spec']
        run['given'] = fields.get('checkpoint', '')
        run['restore_s'] = self._restore_s if run['given'] else 0.0
        run['worked_s'] = int(run['given'] or '0', 16) / MS_PER_S
        run['length'] -= run['worked_s'] - run['restore_s']
        share = re.search(r'fails ([0-9.]+)', fields['spec'])
        if fails or (share and self._choices.random() < float(share[1])):
            longest = FAIL_S if fails else min(run['length'], FAIL_S)
            run['fails_at'] = time.monotonic() + self._choices.uniform(
                0.0, longest
            )

    def stop(self, fields):
        """Handle ``/run-stop``, which takes a while."""
        known = self._runs.get(fields['task'])
        stops = known is not None and known['run'] <= fields['run']
        if not stops or not self._stop_s or not self._admit(fields):
            return super().stop(fields)
        at = time.monotonic() + self._choices.uniform(0.0, self._stop_s)
        known['stops_at'] = min(at, known.get('stops_at', math.inf))
        task, number = fields['task'], fields['run']
        self._newest_run[task] = max(self._newest_run.get(task, 0), number)
        return 200, {}

    def _save(self, run, *, exact=False):
        """Return the newest checkpoint of a run."""
        if not run.get('saves') or run['began_at'] is None:
            return run.get('given', '')
        work_s = time.monotonic() - run['began_at'] - run['restore_s']
        if not exact:
            work_s -= work_s % self._save_s
        if work_s <= 0:
            return run['given']
        return f'{int((run["worked_s"] + work_s) * MS_PER_S):08x}'

    def _list_run(self, task):
        row = super()._list_run(task)
        row[2] = self._save(self._runs[task])
        return row

    def _end(self, task, how):
        run = self._runs[task]
        saved = self._save(run, exact=how == 'stopped')
        run = run['run']
        super()._end(task, how)
        self._ends[-1][4] = '' if how == 'done' else saved
        fields = {'at': self.find_lapse_at()} if how == 'lapsed' else {}
        self.write(
            'ended', task=task, run=run, how=how, number=self._number, **fields
        )

    def hold(self, fields):
        """Handle ``/hold`` and record which ends it acknowledges."""
        upto = fields.get('ack_cursor', 0)
        status, answer = super().hold(fields)
        if status == 200 and upto > self._acked:
            self._acked = upto
            self.write('acked', upto=upto, fence=fields['fencing_token'])
        return status, answer

    def acknowledges(self, fields):
        """Return whether a ``/hold`` takes note of an end."""
        first = self._ends[0][0] if self._ends else float('inf')
        return fields.get('ack_cursor', 0) >= first


class Worker:
    """The calls to a ``Model`` and its heartbeats.

    Args:
        args: The options of the command line.
    """

    def __init__(self, args):
        self.args = args
        self.model = Model(
            events=args.events,
            gangs=args.gangs,
            worker_id=args.id,
            clock_rate=args.clock_rate,
            stop_s=args.stop_ms / MS_PER_S,
            save_s=args.save_ms / MS_PER_S,
            restore_s=args.restore_ms / MS_PER_S,
            choices=random.Random(args.seed + 1),
        )
        self.mode, self.share, self.mode_until = 'pass', 0.0, 0.0
        self.draining_at = None
        self.unheard_until = 0.0
        self.random = random.Random(args.seed)
        host, _, port = args.listen.partition(':')
        self.server = stand_in._Server(
            (host, int(port)), type('Handler', (_Handler,), {'worker': self})
        )
        self.connections = set()
        self.silent = set()

    def run(self):
        """Serve until the process ends."""
        for target in (
            self.server.serve_forever,
            self._send_heartbeats,
            self._read_modes,
        ):
            threading.Thread(target=target, daemon=True).start()
        while True:
            time.sleep(stand_in.CHECK_INTERVAL_S)
            with self.model.condition:
                self.model.advance()

    def _read_modes(self):
        for line in sys.stdin:
            mode, share, seconds = line.split()
            self.model.write('mode', mode=mode, share=share, seconds=seconds)
            if mode == 'drain':
                threading.Thread(
                    target=self._drain,
                    args=(share, float(seconds)),
                    daemon=True,
                ).start()
            elif mode == 'cut':
                self.close_connections()
            elif mode == 'silence':
                self.silent.update(self.connections)
            elif mode == 'unheard':
                self.unheard_until = time.monotonic() + float(seconds)
            else:
                self.mode, self.share = mode, float(share)
                self.mode_until = time.monotonic() + float(seconds)

    def close_connections(self):
        """Reset all connections; new ones are taken."""
        for connection in list(self.connections):
            self._close(connection)

    def _close(self, connection):
        with contextlib.suppress(OSError):
            connection.shutdown(socket.SHUT_RDWR)

    def _drain(self, how, linger_s):
        """Leave as planned: drain, linger, deregister and end.

        Args:
            how: ``open`` if it listens to the end, ``closed`` if it takes no
                new connections while it lingers, ``some`` if it also closes
                the open ones one by one, ``cut`` if all at once.
            linger_s: Time between the end of the drain and its own.
        """
        self.draining_at = time.monotonic()
        time.sleep(self.args.drain_ms / 1000)
        if how != 'open':
            self.model.write('stopped listening')
            self.server.shutdown()
            self.server.server_close()
        if how == 'cut':
            self.close_connections()
        end = time.monotonic() + linger_s
        while time.monotonic() < end:
            time.sleep(min(CLOSE_INTERVAL_S, linger_s))
            if how == 'some' and self.connections:
                self._close(self.random.choice(list(self.connections)))
        self.model.write('deregister')
        self._post('/Instances.Deregister', {})
        self.model.write('exit')
        os._exit(0)

    def _send_heartbeats(self):
        sequence = 0
        while True:
            sequence += 1
            draining = self.draining_at is not None
            body = {
                'service': self.args.service,
                'address': self.args.listen,
                'zone': self.args.zone,
                'version': 'v1',
                'slots': 8,
                'state': 'draining' if draining else 'ready',
                'cold_remaining_ms': 0,
                'capacity': {
                    'cpu': self.args.cpu,
                    'mem_mb': self.args.memory_mb,
                    'gpu': 0,
                },
                'labels': ['a', self.args.rack],
                'clock_ms': self.model.read_clock_ms(),
                'sequence': sequence,
                'born': self.model.born,
            }
            if draining:
                body['remaining_ms'] = self.args.drain_ms
            self.model.write('heartbeat', body=body)
            acked = self._post('/Instances.Heartbeat', body)
            time.sleep(self.args.heartbeat_ms / 1000 if acked else 0.2)

    def _post(self, path, body):
        """Call the agent; return whether it acknowledged the call."""
        if time.monotonic() < self.unheard_until:
            return False
        return stand_in._post(self.args.agent, f'{path}/{self.args.id}', body)

    def choose_mode(self, path, fields):
        """Return how to treat a call."""
        if time.monotonic() >= self.mode_until:
            return 'pass'
        treatment, paths = MODES.get(self.mode, (self.mode, (path,)))
        if path not in paths:
            return 'pass'
        if self.mode == 'lost-acks' and not self.model.acknowledges(fields):
            return 'pass'
        if self.random.random() >= self.share:
            return 'pass'
        if treatment == 'lose':
            return self.random.choice(['mute', 'reset'])
        return treatment

    def handle(self, path, fields, *, late=False, **options):
        """Carry a call out; return (status, fields)."""
        calls = {
            '/run-start': self.model.start,
            '/run-stop': self.model.stop,
            '/hold': self.model.hold,
            '/pace': lambda fields: (200, {}),
        }
        with self.model.condition:
            self.model.advance()
            status, answer = calls[path](fields, **options)
            if path in ORDERS:
                self.model.write(
                    'order',
                    path=path,
                    late=late,
                    status=status,
                    reason=answer.get('reason', ''),
                    **{k: v for k, v in fields.items() if k != 'spec'},
                )
            elif late:
                self.model.write('late grant', status=status, fields=fields)
        return status, answer

    def handle_late(self, path, fields):
        """Carry a call out some seconds later."""
        is_grant = path in GRANTS
        delay_s = self.random.uniform(
            *(LATE_GRANT_RANGE_S if is_grant else LATE_RANGE_S)
        )
        timer = threading.Timer(
            delay_s, self.handle, (path, fields), {'late': True}
        )
        timer.daemon = True
        timer.start()


class _Handler(http.server.BaseHTTPRequestHandler):
    """Handler of a worker's calls; subclasses set ``worker``."""

    worker = None
    ends_connection = False
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def setup(self):
        super().setup()
        self.worker.connections.add(self.connection)

    def finish(self):
        self.worker.connections.discard(self.connection)
        self.worker.silent.discard(self.connection)
        with contextlib.suppress(OSError):
            super().finish()

    def do_POST(self):  # noqa: N802
        length = int(self.headers.get('Content-Length', 0))
        fields = json.loads(self.rfile.read(length))
        worker_id = self.worker.args.id
        expected = self.headers.get('X-Expected-Instance', worker_id)
        if expected != worker_id:
            self._answer(421, {})
            return
        if self.connection in self.worker.silent:
            self._give_no_answer(HANG_S)
            return
        mode = self.worker.choose_mode(self.path, fields)
        if mode in ('busy', 'shed'):
            status = self.worker.random.choice([429, 503])
            self._answer(status if mode == 'shed' else 503, {})
        elif mode in ('late', 'hang'):
            if mode == 'late':
                self.worker.handle_late(self.path, fields)
            is_closed = mode == 'late' and self.path in GRANTS
            self._give_no_answer(0 if is_closed else HANG_S)
        else:
            self._carry_out(mode, fields)

    def _carry_out(self, mode, fields):
        if mode == 'slow':
            time.sleep(SLOW_S)
        self.ends_connection = mode == 'close'
        status, answer = self.worker.handle(
            self.path, fields, **({'fails': True} if mode == 'fail' else {})
        )
        if mode in ('mute', 'reset'):
            self.worker.model.write(
                'answer lost',
                path=self.path,
                status=status,
                ack_cursor=fields.get('ack_cursor', 0),
            )
        if mode == 'mute':
            self._give_no_answer(HANG_S)
        elif mode == 'reset':
            self._give_no_answer(0)
        else:
            self._answer(status, answer)

    def _give_no_answer(self, seconds):
        time.sleep(seconds)
        self.close_connection = True

    def _answer(self, status, fields):
        if self.connection in self.worker.silent:
            self._give_no_answer(HANG_S)
            return
        model = self.worker.model
        fields = {'clock_ms': model.read_clock_ms(), **fields}
        if status != STATUS_UNHEALTHY:
            # Without it, nothing shows which life has answered.
            fields['born'] = model.born
        data = json.dumps(fields).encode()
        with contextlib.suppress(OSError):
            self.send_response(status)
            self.send_header('Content-Type', 'application/json')
            self.send_header('Content-Length', str(len(data)))
            if self.ends_connection:
                self.send_header('Connection', 'close')
            self.end_headers()
            self.wfile.write(data)

    def log_message(self, *args):
        pass


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
        'rack',
    ):
        parser.add_argument(f'--{name}', required=True)
    parser.add_argument('--cpu', type=int, required=True)
    parser.add_argument('--memory-mb', type=int, required=True)
    parser.add_argument('--heartbeat-ms', type=int, required=True)
    parser.add_argument('--drain-ms', type=int, default=2_000)
    parser.add_argument('--stop-ms', type=int, default=0)
    parser.add_argument('--save-ms', type=int, default=2_000)
    parser.add_argument('--restore-ms', type=int, default=0)
    parser.add_argument('--clock-rate', type=float, default=1.0)
    parser.add_argument('--seed', type=int, default=0)
    Worker(parser.parse_args()).run()


if __name__ == '__main__':
    main()
