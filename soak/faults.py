"""Faults that the soak injects from outside the processes."""

import signal

from bilberryhaven import registry
from soak import proxy

__all__ = ['list_faults']

# The deployment tolerates the loss of one disk, so the next disk is wiped only
# after the replica that lost the last one has caught up.
CATCH_UP_S = 8

_registry = registry.Registry(family='fault')
register = _registry.register


def list_faults():
    """Return the (name, function) pairs.

    Each function takes the ``Soak`` and a source of choices. It returns the
    function that ends the fault, or None if there is nothing to undo.
    """
    return _registry.items()


def _choose_process(soak, random, *roles):
    names = [
        name for role in roles for name in soak.machines.list_active(role)
    ]
    return random.choice(sorted(names)) if names else None


@register('kill')
def kill(soak, random):
    """Kill a process; the end of the fault restarts it."""
    name = _choose_process(soak, random, 'entry', 'control', 'agent')
    if name is None:
        return None
    soak.machines.kill(name)
    return lambda: soak.machines.start(name)


@register('terminate')
def terminate(soak, random):
    """Shut a process down gracefully; it must exit in time with status 0."""
    name = _choose_process(soak, random, 'entry', 'control', 'agent')
    if name is None:
        return None
    status = soak.machines.terminate(name)
    if status:
        soak.checker.violations.append(
            f'{name} exited with status {status} on SIGTERM'
        )
    return lambda: soak.machines.start(name)


@register('pause')
def pause(soak, random):
    """Suspend a process."""
    name = _choose_process(soak, random, 'entry', 'control', 'agent')
    if name is None:
        return None
    soak.machines.pause(name)
    return lambda: soak.machines.resume(name)


@register('hang up')
def send_sighup(soak, random):
    """Tell a process by SIGHUP to reload its settings."""
    name = _choose_process(soak, random, 'entry', 'control', 'agent')
    if name is not None:
        soak.machines.signal(name, signal.SIGHUP)


@register('wipe')
def wipe(soak, random):
    """Restart a control instance with an empty disk.

    One disk at a time, and only while all control instances run.
    """
    controls = soak.machines.list_active('control')
    all_up = len(controls) == len(soak.machines.frontend_hosts)
    if not all_up or soak.now() < soak.next_wipe_at:
        return None
    name = random.choice(controls)
    soak.machines.kill(name, wipe=True)
    soak.next_wipe_at = soak.now() + CATCH_UP_S
    soak.machines.start(name)
    return None


@register('worker crash')
def crash_worker(soak, random):
    """Let a worker crash and restart without state."""
    random.choice(soak.workers).start_incarnation()


@register('reset connections')
def reset_connections(soak, random):
    """Reset all connections of one proxy."""
    random.choice(soak.proxies).reset()


def _mute(soak, random, mode):
    chosen = random.choice(soak.proxies)
    chosen.mode = mode

    def end():
        chosen.mode = proxy.Mode.PASS
        # Bytes that a network partition holds back are lost.
        chosen.reset()

    return end


@register('delay')
def delay(soak, random):
    """Delay the traffic of one proxy."""
    chosen = random.choice(soak.proxies)
    chosen.mode = proxy.Mode.DELAY

    def end():
        chosen.mode = proxy.Mode.PASS

    return end


@register('mute requests')
def mute_requests(soak, random):
    """Partition one proxy one way: requests arrive late or never."""
    return _mute(soak, random, proxy.Mode.MUTE_REQUESTS)


@register('mute answers')
def mute_answers(soak, random):
    """Partition one proxy one way: requests take effect without answers."""
    return _mute(soak, random, proxy.Mode.MUTE_ANSWERS)


@register('withdraw zone')
def withdraw_zone(soak, random):
    """Withdraw an availability zone; the end of the fault restores it."""
    machine = random.choice(soak.machines.worker_hosts)
    zone = soak.machines.find_zone(machine)
    soak.operator.withdraw(zone)
    return lambda: soak.operator.restore(zone)


@register('configure')
def configure(soak, random):
    """Replace the configuration."""
    soak.operator.replace()
