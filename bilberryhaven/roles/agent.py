"""The agent role, wired from settings."""

import os
import signal

from bilberryhaven.agent import service
from bilberryhaven import clock as clocks
from bilberryhaven.roles import process
from bilberryhaven.wire import message

__all__ = ['AgentRole', 'run']


class AgentRole(service.Agent):
    """An agent configured by the settings of its process.

    Args:
        settings: The ``Settings``.
        clock: The process's clock.
        drain_notice: How long an agent that is stopping keeps answering
            requests with refusals, a timedelta.
        on_replaced: Called once another agent has taken over.
    """

    def __init__(
        self,
        *,
        settings,
        clock=None,
        drain_notice=service.DRAIN_NOTICE,
        on_replaced=None,
    ):
        capacity = settings.capacity
        super().__init__(
            announcement=message.Announcement(
                name=settings.name,
                zone=settings.zone,
                rack=settings.rack,
                address=settings.advertise,
                labels=[
                    message.Pair(key=key, value=value)
                    for key, value in settings.labels.items()
                ],
                capacity=message.Capacity(
                    slots=capacity.slots,
                    connections=capacity.connections,
                    cpu=capacity.cpu,
                    memory_mb=capacity.memory_mb,
                    accelerators=capacity.accelerators,
                ),
            ),
            listen=settings.listen,
            backend_address=settings.backend,
            entries=settings.entries,
            control=settings.control,
            clock=clock or clocks.SystemClock(),
            drain_notice=drain_notice,
            on_replaced=on_replaced,
        )


def run(settings, clock):
    """Run the agent until a stop signal arrives or it is replaced."""
    role = AgentRole(
        settings=settings,
        clock=clock,
        on_replaced=lambda: os.kill(os.getpid(), signal.SIGTERM),
    )
    return process.run_until_signal(role, settings)
