"""Entry process under test, with a stub leader and echoing agents."""

import threading

import logbook

from bilberryhaven import clock
from bilberryhaven.roles import entry
from bilberryhaven import settings
from bilberryhaven import util
from bilberryhaven.wire import message
from bilberryhaven.wire import server

AGENT_COUNT = 11
LEASE_MS = 4000


def _handle_admit(msg):
    return message.AdmitReply(
        request_id=msg.request_id,
        body=msg.body,
        length=len(msg.body),
        digest=util.compute_digest(msg.body),
        load=message.Load(slots=8, slots_used=1, service_ms=1.0),
    )


def _build_sync(addresses):
    return message.SyncReply(
        revision=1,
        lease_ms=LEASE_MS,
        feed='f',
        cursor=1,
        workloads=[message.WorkloadView(name='price', kind='service')],
        instances=[
            message.InstanceView(name=f'worker-{number}', address=address)
            for number, address in enumerate(addresses)
        ],
    )


def run_peers(queue):
    """Serve the stub leader and agents until the process ends.

    Args:
        queue: Queue on which the address of the leader is put.
    """
    agents = [
        server.Server(
            address='127.0.0.1:0',
            handlers={message.AdmitRequest: _handle_admit},
            threads=4,
        )
        for _ in range(AGENT_COUNT)
    ]
    for agent in agents:
        agent.start()
    addresses = [agent.address for agent in agents]
    leader = server.Server(
        address='127.0.0.1:0',
        handlers={message.SyncRequest: lambda _: _build_sync(addresses)},
        threads=4,
    )
    leader.start()
    queue.put(leader.address)
    threading.Event().wait()


def run_entry(control, queue):
    """Serve an entry until the process ends.

    Args:
        control: Address of the leader.
        queue: Queue on which the address of the entry is put once it is
            ready.
    """
    logbook.NullHandler().push_application()
    role = entry.EntryRole(
        settings=settings.Settings(
            name='e', listen='127.0.0.1:0', control=[control]
        ),
        clock=clock.SystemClock(),
    )
    role.start()
    never_set = threading.Event()
    while not role.is_ready():
        never_set.wait(0.01)
    queue.put(role.address)
    never_set.wait()
