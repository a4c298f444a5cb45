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
# A seed without a replica learns the members within a second of its start.
ANNOUNCE_INTERVAL = clocks.seconds(1)
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
    an instance only forwards operators' requests and tells other instances
    the voters' addresses.
    """

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self._stop_tickers = []
        self._control = self._relay = None
        if self._deployment.has_disk:
            self._control = self._build_control()
        else:
            self._relay = redirector.LeaderRedirector(
                address=self._deployment.settings.listen,
                on_members=self._update_addresses,
            )
        self._serve(
            self._deployment.control_address,
            handlers.build_operator_handler(self._gateway),
            OPERATOR_THREADS,
        )

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
        """Join the quorum, or follow its members' announcements."""
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
        announcer = redirector.MemberAnnouncer(
            replica=self._control.replica,
            client=self._client,
            list_seeds=lambda: self.seeds,
        )
        self._stop_tickers = [
            ticker.Ticker.launch(
                name=name,
                func=func,
                interval=interval,
                clock=self._clock,
            )
            for name, func, interval in (
                ('join', join_requester.tick, JOIN_INTERVAL),
                ('announce', announcer.tick, ANNOUNCE_INTERVAL),
            )
        ]

    def stop(self):
        """Transfer leadership and stop."""
        for stop in self._stop_tickers:
            stop()
        for component in (self._control, self._relay):
            if component is not None:
                component.stop()
        super().stop()

    def _update_addresses(self, addresses):
        known = self._relay.members if self._relay is not None else []
        super()._update_addresses([*known, *addresses])
