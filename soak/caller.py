"""Callers and the operator, with checks of the answers that they get."""

import json
import threading
import time

import urllib3

from soak import machines

__all__ = ['Caller', 'Operator']

HOST = 'desk.example'
PATH_PREFIX = '/surveys/'
CALL_TIMEOUT_S = 3
OPERATOR_TIMEOUT_S = 2
SUBMIT_INTERVAL_S = 0.3
# Several threads, so that a call blocked by a muted proxy does not delay the
# others.
THREAD_COUNT = 4
MAX_ATTEMPTS = 4
MAX_TASKS = 4
CANCEL_PROBABILITY = 0.1
STATUS_PROBABILITY = 0.3
RESEND_PROBABILITY = 0.2
COMPLETED = 'completed'
NOT_RUN_STATUSES = (429, 503)
REJECTED_CODE = b'"rejected"'


class Caller:
    """Submits jobs and queries their state over persistent connections.

    Args:
        addresses: HOST:PORT of the entries, or of the proxies in front of
            them.
        checker: The ``InvariantChecker``.
        random: Source of choices.

    Attributes:
        accepted: Numbers of tasks per step, by id of the accepted job.
        cancelled: Ids of jobs whose cancellation may have taken effect.
        rejections: Number of answers that rejected a job.
        refused: Ids of jobs whose every submission was refused as not run.
        statuses: Number of answers by HTTP status; None is no answer.
    """

    def __init__(self, *, addresses, checker, random):
        self._addresses = addresses
        self._checker = checker
        self._random = random
        self._http = urllib3.PoolManager(retries=False, maxsize=THREAD_COUNT)
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, daemon=True)
            for _ in range(THREAD_COUNT)
        ]
        self.accepted = {}
        self.rejections = 0
        self.cancelled = set()
        self.refused = set()
        self.statuses = {}

    def start(self):
        """Start submitting jobs."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stop submitting jobs and wait for the open calls."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self):
        while not self._stopping.wait(SUBMIT_INTERVAL_S):
            self._submit()
            known = sorted(self.accepted)
            if known and self._random.random() < STATUS_PROBABILITY:
                self.get_state(self._random.choice(known))
            if known and self._random.random() < RESEND_PROBABILITY:
                self._resend(self._random.choice(known))
            if known and self._random.random() < CANCEL_PROBABILITY:
                name = self._random.choice(known)
                self.cancelled.add(name)
                self._call('DELETE', name)

    def _submit(self):
        name = f'{self._random.getrandbits(64):016x}'
        task_counts = [
            self._random.randint(1, MAX_TASKS)
            for _ in range(self._random.randint(1, 2))
        ]
        job = _build_job(name, task_counts)
        self._checker.specs[name] = job['spec']
        seen = set()
        for _ in range(MAX_ATTEMPTS):
            status, body = self._call('POST', name, job)
            seen.add(status)
            self.rejections += _is_rejected(status, body)
            if status == 200:
                self.accepted[name] = task_counts
                return
        if seen <= set(NOT_RUN_STATUSES):
            self.refused.add(name)

    def _resend(self, name):
        status, body = self._call(
            'POST', name, _build_job(name, self.accepted[name])
        )
        if _is_rejected(status, body):
            self._checker.violations.append(
                f'accepted job {name} was rejected when sent again'
            )

    def get_state(self, name):
        """Return the state of a job, or None without a valid answer."""
        status, body = self._call('GET', name)
        if status == 410:
            self._checker.violations.append(f'accepted job {name} is unknown')
        if status != 200:
            return None
        state = json.loads(body)['state']
        self._check_state(name, state)
        return state

    def _check_state(self, name, state):
        if state == 'failed':
            self._checker.violations.append(
                f'job {name} is reported as failed'
            )
        if state == 'cancelled' and name not in self.cancelled:
            self._checker.violations.append(
                f'job {name} is reported as cancelled without a request'
            )
        if state != COMPLETED:
            return
        with self._checker.lock:
            missing = [
                f'0.{step}.{index}'
                for step, task_count in enumerate(self.accepted[name])
                for index in range(task_count)
                if (name, f'0.{step}.{index}') not in self._checker.succeeded
            ]
        if missing:
            self._checker.violations.append(
                f'job {name} is completed, but tasks {missing} did not succeed'
            )

    def _call(self, method, name, fields=None):
        address = self._random.choice(self._addresses)
        try:
            response = self._http.request(
                method,
                f'http://{address}{PATH_PREFIX}{name}',
                json=fields,
                headers={
                    'Host': HOST,
                    'X-Deadline-Ms': str(CALL_TIMEOUT_S * 1000),
                },
                timeout=CALL_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError:
            status, body = None, b''
        else:
            status, body = response.status, response.data
        self.statuses[status] = self.statuses.get(status, 0) + 1
        return status, body


def _build_job(name, task_counts):
    steps = [
        {'task_count': task_count, 'cpu': 1000, 'mem_mb': 100}
        for task_count in task_counts
    ]
    if len(steps) > 1:
        steps[1]['after'] = [0]
    return {'spec': f'spec of {name}', 'steps': steps}


def _is_rejected(status, body):
    return status in NOT_RUN_STATUSES and REJECTED_CODE in body


class Operator:
    """Replaces the configuration, withdraws zones and checks what is served.

    Args:
        addresses: HOST:PORT of the control instances.
        checker: The ``InvariantChecker``.
        random: Source of choices.

    Attributes:
        version: Last version that was sent.
        acknowledged: Last version that was acknowledged.
        withdrawn: Availability zones whose restoration isn't acknowledged.
    """

    def __init__(self, *, addresses, checker, random):
        self._addresses = addresses
        self._checker = checker
        self._random = random
        self._http = urllib3.PoolManager(retries=False, maxsize=2)
        self.version = 0
        self.acknowledged = 0
        self.withdrawn = set()

    def replace(self):
        """Send the next version; return whether it was acknowledged."""
        self.version += 1
        status, _ = self._call('POST', '/Config.Replace', self._build())
        if status == 200:
            self.acknowledged = self.version
        self._check_refusal(status, f'configuration {self.version}')
        return status == 200

    def _check_refusal(self, status, text):
        if status in range(400, 500) and status not in (408, 429):
            self._checker.violations.append(f'{text} was refused: {status}')

    def _build(self):
        routes = [
            self._build_route('r-jobs', PATH_PREFIX),
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

    def withdraw(self, zone):
        """Withdraw an availability zone; the checker learns of the answer."""
        self.withdrawn.add(zone)
        status, _ = self._call('POST', f'/Evacuation.Start/{zone}')
        self._check_refusal(status, f'withdrawal of {zone}')
        if status == 200:
            bound = time.monotonic() + machines.WITHDRAWAL_BOUND_S
            self._checker.withdrawn_at.setdefault(zone, bound)

    def restore(self, zone):
        """Restore an availability zone."""
        self._checker.withdrawn_at.pop(zone, None)
        status, _ = self._call('POST', f'/Evacuation.End/{zone}')
        self._check_refusal(status, f'restoration of {zone}')
        if status == 200:
            self.withdrawn.discard(zone)

    def restore_all(self):
        """Restore what is withdrawn; return whether nothing remains."""
        for zone in sorted(self.withdrawn):
            self.restore(zone)
        return not self.withdrawn

    def check(self):
        """Check the version that is served; return whether it was read."""
        min_version = self.acknowledged
        status, body = self._call('GET', '/Config.Get')
        if status != 200:
            return False
        served = json.loads(body)['version']
        if not min_version <= served <= self.version:
            self._checker.violations.append(
                f'configuration {served} was read after {min_version} was '
                'acknowledged'
            )
        return True

    def _call(self, method, path, fields=None):
        address = self._random.choice(self._addresses)
        try:
            response = self._http.request(
                method,
                f'http://{address}{path}',
                json=fields,
                timeout=OPERATOR_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError:
            return None, b''
        return response.status, response.data
