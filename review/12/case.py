"""A submission is held up in the network, and its caller cancels the job."""

import json
import pathlib
import socket
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness3  # noqa: E402

CUT_S = 5.5
GIVE_UP_AFTER_S = 1.0
CANCEL_S = 3.0
WATCH_S = 10.0
WORK_S = 2.0


def send(sock, method, path, body=None):
    """Send a request on an open channel."""
    data = b'' if body is None else json.dumps(body).encode()
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {harness3.HOST}\r\n'
        f'Content-Type: application/json\r\nX-Deadline-Ms: 3000\r\n'
        f'Content-Length: {len(data)}\r\n\r\n'
    )
    sock.sendall(head.encode() + data)


def receive(sock, timeout):
    """Return the first line of an answer, empty if there is none in time."""
    sock.settimeout(timeout)
    try:
        return sock.recv(65_536).partition(b'\r\n')[0].decode()
    except TimeoutError:
        return ''


def play(deployment, disrupts):
    """Submit on a cut link, give up, cancel elsewhere, and let it heal."""
    record = deployment.record
    entry = deployment.find_address(deployment.fronts[0], 'frontend')
    link = harness3.Link(entry)
    host, _, port = link.address.partition(':')
    sock = socket.create_connection((host, int(port)))
    send(sock, 'GET', harness3.PREFIX)
    record.add('channel open', answer=receive(sock, 3.0))
    job = '5c0e7a21d94b36f8'
    body = {
        'spec': json.dumps({'work_s': WORK_S}),
        'steps': [{'task_count': 3, 'cpu': 1_000, 'mem_mb': 256}],
    }
    with deployment.plan.lock:
        deployment.plan.jobs[job] = body
    if disrupts:
        link.cut()
    cut_at = record.now()
    record.add('post', job=job, front=deployment.fronts[0], body=body)
    send(sock, 'POST', harness3.PREFIX + job, body)
    record.add('post answered', job=job, answer=receive(sock, GIVE_UP_AFTER_S))
    sock.close()
    record.add('channel closed', job=job)
    status = deployment.delete(job, deployment.fronts[1])
    if status not in (200, 410):
        raise harness3.CannotRunError(f'the cancel was answered {status}')
    cancelled_at = record.now()
    time.sleep(max(0.0, cut_at + CUT_S - record.now()))
    link.heal()
    record.add('link healed')
    time.sleep(WATCH_S)
    deployment.get(job, deployment.fronts[1])
    return [
        f'UNASKED: {row["task"]} was started at {row["at"]} s on '
        f'{row["worker"]}, {row["at"] - cancelled_at:.1f} s after the cancel '
        f'of its job was answered with {status}'
        for row in record.find('start')
        if row['task'].startswith(job) and row['at'] > cancelled_at + CANCEL_S
    ]


if __name__ == '__main__':
    sys.exit(harness3.play(HERE, play))
