"""The control role on the users' infrastructure, wired from settings."""

import msgspec

from bilberryhaven import clock as clocks
from bilberryhaven.consensus import options as replica_options
from bilberryhaven.control import membership
from bilberryhaven.control import redirector
from bilberryhaven.platform import handlers
from bilberryhaven.platform import roles
from bilberryhaven.platform import settings as platform_settings
from bilberryhaven.roles import control
from bilberryhaven import ticker

__all__ = ['ControlRole']

JOIN_INTERVAL = clocks.seconds(0.5)
OPERATOR_THREADS = 12
# Many round trips between the zones of a region, which are a few ms apart, and
# several heartbeats.
REPLICA_OPTIONS = replica_options.Options(
    election_timeout=clocks.seconds(0.6),
    election_jitter=clocks.seconds(0.3),
    lease_margin=clocks.seconds(0.08),
)


@roles.register('control')
class ControlRole(roles.Role):
    """Serves operators, and runs a replica of the log if it has a disk.

    Without a disk, acknowledged entries would be lost on a restart, so such
    an instance only forwards operators' requests and redirects other
    processes to the voters.
    """

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self._stop_join = None
        self._relay = None
        if self._control is None:
            self._relay = redirector.LeaderRedirector(
                address=self._deployment.settings.listen,
                directory=self._directory,
            )
        self._serve(
            self._deployment.control_address,
            handlers.build_operator_handler(self._gateway),
            OPERATOR_THREADS,
            is_for_callers=False,
        )

    def _build_directory(self):
        # A replica's process keeps the directory itself.
        self._control = None
        if not self._deployment.has_disk:
            return super()._build_directory()
        self._control = self._build_control()
        return self._control.directory

    def _build_control(self):
        return control.ControlRole(
            settings=msgspec.structs.replace(
                self._deployment.settings,
                name=platform_settings.build_replica_name(self._deployment),
            ),
            clock=self._clock,
            options=self._deployment.options,
            manage_membership=True,
            replica_options=REPLICA_OPTIONS,
        )

    def start(self):
        """Join the quorum, or redirect to its members."""
        if self._control is None:
            self._relay.start()
            super().start()
            return
        self._control.start()
        super().start()
        join_requester = membership.JoinRequester(
            replica=self._control.replica,
            gateway=self._gateway,
            clock=self._clock,
        )
        self._stop_join = ticker.Ticker.launch(
            name='join',
            func=join_requester.tick,
            interval=JOIN_INTERVAL,
            clock=self._clock,
        )

    def stop(self):
        """Transfer leadership and stop."""
        if self._stop_join is not None:
            self._stop_join()
        for component in (self._control, self._relay):
            if component is not None:
                component.stop()
        super().stop()
