"""The demo: runs a complete system for each of the example deployments.

Prints one line for each step; the last line is a JSON object with the
results.
"""

import concurrent.futures
import dataclasses
import json
import pathlib
import shutil
import time

import msgspec
import urllib3

from bilberryhaven import clock as clocks
from bilberryhaven import cmdline
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.roles import standalone
from bilberryhaven import settings as settings_module

__all__ = ['DEPLOYMENTS', 'Deployment', 'run', 'run_deployment']

EXAMPLES = pathlib.Path('examples')
REQUEST_COUNT = 200
CALLERS = 16
DEADLINE_MS = 2000
TIMEOUT = clocks.seconds(30)
POLL_INTERVAL_S = 0.1
JOB_DURATION_S = 0.5
SERVICE_TIME_MS = 12.0
SUBMISSIONS = 3


@dataclasses.dataclass(kw_only=True, frozen=True)
class Deployment:
    """One example deployment and the work that the demo runs on it.

    Attributes:
        name: Its name; also that of its files in ``examples``.
        service: Name of its service workload.
        batch: Name of its batch workload.
        watch: Name of its watch workload.
        once: Name of its batch workload that must run at most once, or empty.
        jobs: Number of jobs of the batch workload to submit.
    """

    name: str
    service: str
    batch: str
    watch: str
    once: str = ''
    jobs: int = 4


DEPLOYMENTS = (
    Deployment(
        name='lianhe',
        service='liner-check',
        batch='silt-survey',
        watch='water-watch',
    ),
    Deployment(
        name='al-harthy',
        service='price-check',
        batch='bulk-quote',
        watch='stock-watch',
        once='recipe',
    ),
)


@dataclasses.dataclass(kw_only=True)
class Results:
    """Results of the demo.

    Attributes:
        ok: Whether all checks have passed so far.
        latencies_ms: Latency of each complete answer.
        jobs_finished: Number of batch jobs that finished.
        once_issued: Number of starts of work that must run at most once.
        watches_running: Number of watches that run at the end.
        revision_in_force: Newest revision that was in force everywhere.
    """

    ok: bool = True
    latencies_ms: list[float] = dataclasses.field(default_factory=list)
    jobs_finished: int = 0
    once_issued: int = 0
    watches_running: int = 0
    revision_in_force: int = 0

    def summarize(self):
        """Return the mapping that the last line of output shows."""
        ordered = sorted(self.latencies_ms)
        return {
            'ok': self.ok,
            'answers': len(ordered),
            'p50_ms': _compute_percentile(ordered, 0.50),
            'p99_ms': _compute_percentile(ordered, 0.99),
            'jobs_finished': self.jobs_finished,
            'once_issued': self.once_issued,
            'watches_running': self.watches_running,
            'revision_in_force': self.revision_in_force,
        }


def _compute_percentile(ordered, fraction):
    if not ordered:
        return 0.0
    return round(
        ordered[min(int(len(ordered) * fraction), len(ordered) - 1)], 2
    )


class Api:
    """HTTP client of a running system.

    Args:
        address: HOST:PORT of its entry.
    """

    def __init__(self, *, address):
        self._base = f'http://{address}'
        self._pool = urllib3.PoolManager(maxsize=CALLERS, retries=False)

    def call(self, method, path, body=None, headers=None):
        """Return the JSON answer to one call.

        Args:
            method: HTTP method.
            path: Path of the call.
            body: JSON value of the body, or None.
            headers: HTTP headers, or None for the defaults.

        Raises:
            BilberryhavenError: The answer is an error.
        """
        response = self._pool.request(
            method,
            self._base + path,
            json=body,
            headers=headers or {'Content-Type': 'application/json'},
            timeout=TIMEOUT.total_seconds(),
        )
        answer = json.loads(response.data)
        if response.status >= 400:
            raise errors.build_error(answer)
        return answer


class DeploymentDemo:
    """The demo of one deployment.

    Args:
        deployment: The ``Deployment``.
        results: The ``Results`` to add to.
        folder: Folder for the system's data.
        clock: The ``Clock``.
    """

    def __init__(self, *, deployment, results, folder, clock):
        self._deployment = deployment
        self._results = results
        self._clock = clock
        path = EXAMPLES / f'{deployment.name}.yaml'
        self._settings = msgspec.structs.replace(
            settings_module.load_settings(path),
            listen=standalone.ANY_PORT,
            data=str(folder / deployment.name),
        )
        self._system = None
        self._api = None

    def run(self):
        """Run all steps, restart, and check that no state was lost."""
        self._start()
        try:
            self._apply_workloads()
            self._send_requests()
            self._run_jobs()
            self._run_once()
            self._start_watch()
            self._change_label()
            self._restart()
            self._check_watch()
        finally:
            self._system.stop()

    def _print_line(self, text):
        print(f'[{self._deployment.name}] {text}', flush=True)

    def _check(self, condition, text):
        self._print_line(('ok: ' if condition else 'FAILED: ') + text)
        if not condition:
            self._results.ok = False

    def _wait(self, condition, text):
        """Wait until ``condition()`` is true and print the outcome."""
        end = self._clock.monotonic() + TIMEOUT
        while self._clock.monotonic() < end:
            if condition():
                self._check(True, text)
                return
            time.sleep(POLL_INTERVAL_S)
        self._check(False, text)

    def _start(self):
        deployment = self._deployment
        self._system = standalone.Standalone(
            settings=self._settings,
            clock=self._clock,
            service_times_ms={deployment.service: SERVICE_TIME_MS},
        )
        self._system.start()
        self._api = Api(address=self._system.address)
        count = self._settings.standalone.instances
        self._wait(
            lambda: self._count_connected() == count,
            f'{count} instances connected',
        )

    def _count_connected(self):
        try:
            rows = self._api.call('GET', '/v1/instances')['instances']
        except errors.BilberryhavenError:
            return 0
        return sum(row['connected'] for row in rows)

    def _apply_workloads(self):
        path = EXAMPLES / f'{self._deployment.name}-workloads.yaml'
        status = cmdline.main(
            ['--server', self._system.address, 'apply', str(path)]
        )
        self._check(status == 0, f'applied {path}')
        self._wait(self._is_in_force, 'the workloads are in force everywhere')

    def _is_in_force(self):
        answer = self._api.call('GET', '/v1/in-force')
        if answer['in_force']:
            newest = max(self._results.revision_in_force, answer['revision'])
            self._results.revision_in_force = newest
        return answer['in_force']

    def _send_requests(self):
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            latencies = list(
                pool.map(self._send_request, range(REQUEST_COUNT))
            )
        answered = [value for value in latencies if value is not None]
        self._results.latencies_ms.extend(answered)
        self._check(
            len(answered) == REQUEST_COUNT,
            f'{len(answered)} of {REQUEST_COUNT} {self._deployment.service} '
            'requests got a complete and correct answer in time',
        )

    def _send_request(self, number):
        start = self._clock.monotonic()
        body_text = f'question {number} of {self._deployment.name}'
        body = {
            'workload': self._deployment.service,
            'body': body_text,
            'deadline_ms': DEADLINE_MS,
            'idempotent': True,
        }
        try:
            answer = self._api.call('POST', '/v1/requests', body)
        except errors.BilberryhavenError as error:
            self._print_line(f'request failed: {error}')
            return None
        if body_text not in str(answer['body']):
            return None
        duration = self._clock.monotonic() - start
        return duration.total_seconds() * 1000

    def _submit(self, job_id, workload, payload):
        body = {'id': job_id, 'workload': workload, 'payload': payload}
        return self._api.call('POST', '/v1/jobs', body)

    def _get_state(self, job_id):
        return self._api.call('GET', f'/v1/jobs/{job_id}')['state']

    def _run_jobs(self):
        deployment = self._deployment
        ids = [f'{deployment.batch}-{i}' for i in range(deployment.jobs)]
        for job_id in ids:
            self._submit(job_id, deployment.batch, {'seconds': JOB_DURATION_S})
        self._wait(
            lambda: all(self._get_state(i) == 'finished' for i in ids),
            f'{len(ids)} {deployment.batch} jobs finished',
        )
        states = [self._get_state(job_id) for job_id in ids]
        self._results.jobs_finished += states.count('finished')

    def _run_once(self):
        if not self._deployment.once:
            return
        job_id = f'{self._deployment.once}-1'
        for _ in range(SUBMISSIONS):
            self._submit(
                job_id, self._deployment.once, {'seconds': JOB_DURATION_S}
            )
        self._wait(
            lambda: self._get_state(job_id) == 'finished',
            f'{job_id}, submitted {SUBMISSIONS} times, finished',
        )
        starts = self._count_starts(job_id)
        self._results.once_issued += starts
        self._results.jobs_finished += 1
        self._check(starts == 1, f'{job_id} was started {starts} time(s)')

    def _count_starts(self, job_id):
        servers = self._system.standins.values()
        return sum(server.task_starts[job_id] for server in servers)

    def _start_watch(self):
        job_id = f'{self._deployment.watch}-1'
        self._submit(job_id, self._deployment.watch, {})
        self._wait(
            lambda: self._get_state(job_id) == 'running',
            f'{job_id} is running',
        )

    def _change_label(self):
        name = self._deployment.service
        answer = self._api.call(
            'PATCH',
            f'/v1/workloads/{name}/labels',
            {'labels': {'season': 'dry'}},
        )
        self._wait(
            self._is_in_force,
            f'label season=dry is in force as revision {answer["revision"]}',
        )
        row = self._api.call('GET', f'/v1/workloads/{name}')
        self._check(
            row['labels'].get('season') == 'dry', 'the label can be read back'
        )

    def _restart(self):
        before = self._api.call('GET', '/v1/in-force')['revision']
        self._system.stop()
        self._print_line(
            'stopped gracefully; restarting on the same data folder'
        )
        self._start()
        after = self._api.call('GET', '/v1/in-force')['revision']
        self._check(before == after, f'revision {after} survived the restart')

    def _check_watch(self):
        job_id = f'{self._deployment.watch}-1'
        self._wait(
            lambda: self._get_state(job_id) == 'running',
            f'{job_id} is running again after the restart',
        )
        if self._get_state(job_id) == 'running':
            self._results.watches_running += 1


def run_deployment(deployment, *, results, folder, clock):
    """Run the demo of one deployment and add to ``results``."""
    demo = DeploymentDemo(
        deployment=deployment, results=results, folder=folder, clock=clock
    )
    try:
        demo.run()
    except (errors.BilberryhavenError, urllib3.exceptions.HTTPError) as error:
        print(f'[{deployment.name}] FAILED: {error}')
        results.ok = False


def run(settings, clock):
    """Run the demo in a fresh data folder; return the exit status."""
    data = settings.data if settings else 'data'
    folder = pathlib.Path(data) / 'demo'
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    handler = log.start_logging(stream=(folder / 'log.jsonl').open('w'))
    results = Results()
    for deployment in DEPLOYMENTS:
        run_deployment(deployment, results=results, folder=folder, clock=clock)
    handler.pop_application()
    print(f'the decisions are logged in {folder / "log.jsonl"}')
    print(json.dumps(results.summarize()))
    return 0 if results.ok else 1
