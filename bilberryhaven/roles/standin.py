"""The stand-in backend server as a separate process."""

from bilberryhaven.roles import process
from bilberryhaven.standin import server

__all__ = ['run']


def run(settings, clock):
    """Run a stand-in backend server until a stop signal arrives."""
    role = server.StandinServer(
        name=settings.name,
        address=settings.listen,
        capacity=settings.capacity,
        clock=clock,
    )
    return process.run_until_signal(role, settings)
