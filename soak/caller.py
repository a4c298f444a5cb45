"""Callers and the operator, and what they were promised."""

import json
import threading

import urllib3

__all__ = ['Caller', 'Operator']

HOST = 'desk.example'
PREFIX = '/surveys/'
CALL_SECONDS = 3
OPERATOR_SECONDS = 2
SUBMIT_PAUSE = 0.3
# One that waits behind a silent proxy doesn't hold the others up.
THREADS = 4
MAX_ATTEMPTS = 4
MAX_TASKS = 4
CANCEL_SHARE = 0.1
ASK_SHARE = 0.3
DONE = 'completed'
NOT_RUN = (429, 503)


class Caller:
    """Submits jobs over connections that it keeps, and asks for them.

    Args:
        addresses: HOST:PORT of the entries, or of proxies before them.
        judge: The ``Judge``.
        random: Source of choices.

    Attributes:
        accepted: Number of tasks by step, by id of an accepted job.
        cancelled: Ids whose cancellation may have been carried out.
        refused: Ids of which every attempt was refused as not run.
        statuses: How often each answer came.
    """

    def __init__(self, *, addresses, judge, random):
        self._addresses = addresses
        self._judge = judge
        self._random = random
        self._http = urllib3.PoolManager(retries=False, maxsize=THREADS)
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, daemon=True)
            for _ in range(THREADS)
        ]
        self.accepted = {}
        self.cancelled = set()
        self.refused = set()
        self.statuses = {}

    def start(self):
        """Start to submit."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Submit no more."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self):
        while not self._stopping.wait(SUBMIT_PAUSE):
            self._submit()
            known = sorted(self.accepted)
            if known and self._random.random() < ASK_SHARE:
                self.ask(self._random.choice(known))
            if known and self._random.random() < CANCEL_SHARE:
                name = self._random.choice(known)
                self.cancelled.add(name)
                self._call('DELETE', name)

    def _submit(self):
        name = f'{self._random.getrandbits(64):016x}'
        widths = [
            self._random.randint(1, MAX_TASKS)
            for _ in range(self._random.randint(1, 2))
        ]
        steps = [
            {'task_count': width, 'cpu': 1000, 'mem_mb': 100}
            for width in widths
        ]
        if len(steps) > 1:
            steps[1]['after'] = [0]
        spec = f'spec of {name}'
        self._judge.specs[name] = spec
        seen = set()
        for _ in range(MAX_ATTEMPTS):
            status, _ = self._call(
                'POST', name, {'spec': spec, 'steps': steps}
            )
            seen.add(status)
            if status == 200:
                self.accepted[name] = widths
                return
        if seen <= set(NOT_RUN):
            self.refused.add(name)

    def ask(self, name):
        """Return a job's state, or None where none was told."""
        status, body = self._call('GET', name)
        if status == 410:
            self._judge.broken.append(f'{name} was accepted, then unknown')
        if status != 200:
            return None
        state = json.loads(body)['state']
        self._check_state(name, state)
        return state

    def _check_state(self, name, state):
        if state == 'failed':
            self._judge.broken.append(f'{name} is shown as failed')
        if state == 'cancelled' and name not in self.cancelled:
            self._judge.broken.append(f'{name} is shown as cancelled')
        if state != DONE:
            return
        with self._judge.lock:
            missing = [
                f'0.{step}.{index}'
                for step, width in enumerate(self.accepted[name])
                for index in range(width)
                if (name, f'0.{step}.{index}') not in self._judge.ended_well
            ]
        if missing:
            self._judge.broken.append(f'{name} is completed without {missing}')

    def _call(self, method, name, fields=None):
        address = self._random.choice(self._addresses)
        try:
            response = self._http.request(
                method,
                f'http://{address}{PREFIX}{name}',
                json=fields,
                headers={
                    'Host': HOST,
                    'X-Deadline-Ms': str(CALL_SECONDS * 1000),
                },
                timeout=CALL_SECONDS,
            )
        except urllib3.exceptions.HTTPError:
            status, body = None, b''
        else:
            status, body = response.status, response.data
        self.statuses[status] = self.statuses.get(status, 0) + 1
        return status, body


class Operator:
    """Replaces the configuration and reads it back.

    Args:
        addresses: HOST:PORT of the control instances.
        judge: The ``Judge``.
        random: Source of choices.
    """

    def __init__(self, *, addresses, judge, random):
        self._addresses = addresses
        self._judge = judge
        self._random = random
        self._http = urllib3.PoolManager(retries=False, maxsize=2)
        self.version = 0
        self.acknowledged = 0

    def replace(self):
        """Send the next version; return whether it was acknowledged."""
        self.version += 1
        status, _ = self._call('POST', '/Config.Replace', self._build())
        if status == 200:
            self.acknowledged = self.version
        elif status in range(400, 500) and status not in (408, 429):
            self._judge.broken.append(
                f'version {self.version} was refused with {status}'
            )
        return status == 200

    def _build(self):
        routes = [
            self._build_route('r-jobs', PREFIX),
            self._build_route('r-idle', f'/idle-{self.version}/'),
        ]
        return {
            'version': self.version,
            'routes': routes,
            'services': [{'name': 'desk'}],
            'limits': {},
        }

    @staticmethod
    def _build_route(name, prefix):
        return {
            'name': name,
            'host': HOST,
            'path_prefix': prefix,
            'service': 'desk',
            'timeout_ms': 3000,
            'max_attempts': 4,
        }

    def check(self):
        """Read the configuration back; return whether it was told."""
        least = self.acknowledged
        status, body = self._call('GET', '/Config.Get')
        if status != 200:
            return False
        found = json.loads(body)['version']
        if not least <= found <= self.version:
            self._judge.broken.append(
                f'version {found} was read after {least} was acknowledged'
            )
        return True

    def _call(self, method, path, fields=None):
        address = self._random.choice(self._addresses)
        try:
            response = self._http.request(
                method,
                f'http://{address}{path}',
                json=fields,
                timeout=OPERATOR_SECONDS,
            )
        except urllib3.exceptions.HTTPError:
            return None, b''
        return response.status, response.data
