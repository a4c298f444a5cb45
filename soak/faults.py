"""Faults that the soak injects from outside of the processes."""

import signal

from bilberryhaven import registry
from soak import proxy

__all__ = ['list_faults']

# The deployment bears one lost disk; the next may be lost once the former
# one's successor has caught up.
CATCH_UP_SECONDS = 8

_registry = registry.Registry(family='fault')
register = _registry.register


def list_faults():
    """Return the (name, function) pairs.

    Each function takes the ``Soak`` and a source of choices, and returns the
    function that ends the fault, or None where it ends by itself.
    """
    return _registry.items()


def _pick(soak, random, *roles):
    names = [name for role in roles for name in soak.machines.list_up(role)]
    return random.choice(sorted(names)) if names else None


@register('kill')
def kill(soak, random):
    """Kill a process; it starts again later."""
    name = _pick(soak, random, 'entry', 'control', 'agent')
    if name is None:
        return None
    soak.machines.kill(name)
    return lambda: soak.machines.start(name)


@register('terminate')
def terminate(soak, random):
    """Stop a process in an orderly way; it must exit in time."""
    name = _pick(soak, random, 'entry', 'control', 'agent')
    if name is None:
        return None
    status = soak.machines.terminate(name)
    if status:
        soak.judge.broken.append(f'{name} stopped with status {status}')
    return lambda: soak.machines.start(name)


@register('pause')
def pause(soak, random):
    """Let a process stand still."""
    name = _pick(soak, random, 'entry', 'control', 'agent')
    if name is None:
        return None
    soak.machines.pause(name)
    return lambda: soak.machines.resume(name)


@register('hang up')
def hang_up(soak, random):
    """Tell a process that its settings have changed."""
    name = _pick(soak, random, 'entry', 'control', 'agent')
    if name is not None:
        soak.machines.signal(name, signal.SIGHUP)


@register('wipe')
def wipe(soak, random):
    """Take a control instance's disk away, one in a while."""
    controls = soak.machines.list_up('control')
    all_up = len(controls) == len(soak.machines.fronts)
    if not all_up or soak.now() < soak.disks_sound_at:
        return None
    name = random.choice(controls)
    soak.machines.kill(name, wipe=True)
    soak.disks_sound_at = soak.now() + CATCH_UP_SECONDS
    soak.machines.start(name)
    return None


@register('worker crash')
def crash_worker(soak, random):
    """Let a worker crash and come back knowing nothing."""
    random.choice(soak.workers).begin_life()


@register('reset connections')
def reset_connections(soak, random):
    """Reset all connections of one proxy."""
    random.choice(soak.proxies).reset()


def _silence(soak, random, mode):
    chosen = random.choice(soak.proxies)
    chosen.mode = mode

    def end():
        chosen.mode = proxy.Mode.PASS
        # What was held up by a cut is lost.
        chosen.reset()

    return end


@register('delay')
def delay(soak, random):
    """Delay what one proxy passes."""
    chosen = random.choice(soak.proxies)
    chosen.mode = proxy.Mode.DELAY

    def end():
        chosen.mode = proxy.Mode.PASS

    return end


@register('mute requests')
def mute_requests(soak, random):
    """Cut one proxy one way: nothing arrives, later or never."""
    return _silence(soak, random, proxy.Mode.MUTE_REQUESTS)


@register('mute answers')
def mute_answers(soak, random):
    """Cut one proxy the other way: carried out, but never answered."""
    return _silence(soak, random, proxy.Mode.MUTE_ANSWERS)


@register('configure')
def configure(soak, random):
    """Replace the configuration."""
    soak.operator.replace()
