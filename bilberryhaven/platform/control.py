"""The control role as the infrastructure runs it: wiring only."""

import msgspec

from bilberryhaven import clock as clocks
from bilberryhaven.control import keeper
from bilberryhaven.control import relay
from bilberryhaven.platform import faces
from bilberryhaven.platform import roles
from bilberryhaven.platform import settings as platform_settings
from bilberryhaven.roles import control
from bilberryhaven import ticker

__all__ = ['ControlRole']

JOIN_INTERVAL = clocks.seconds(0.5)
# A seed without a replica knows the members within a second of its start.
ANNOUNCE_INTERVAL = clocks.seconds(1)
OPERATOR_THREADS = 12


@roles.register('control')
class ControlRole(roles.Role):
    """Serves operators, and holds a replica of the log where a disk is.

    Without a disk nothing that was acknowledged would last, so such an
    instance passes operators' requests on and names the voters to others.
    """

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self._stop_tickers = []
        self._control = self._relay = None
        if self._deployment.has_disk:
            self._control = self._build_control()
        else:
            self._relay = relay.LeaderRedirector(
                address=self._deployment.settings.listen,
                on_members=self._learn,
            )
        self._serve(
            self._deployment.orders,
            faces.build_operator_face(self._gateway),
            OPERATOR_THREADS,
        )

    def _build_control(self):
        return control.ControlRole(
            settings=msgspec.structs.replace(
                self._deployment.settings,
                name=platform_settings.name_replica(self._deployment),
            ),
            clock=self._clock,
            options=self._deployment.options,
            manage_membership=True,
        )

    def start(self):
        """Join the quorum, or listen to its members."""
        if self._control is None:
            self._relay.start()
            super().start()
            return
        self._control.start()
        super().start()
        joiner = keeper.JoinRequester(
            replica=self._control.replica,
            gateway=self._gateway,
            clock=self._clock,
        )
        announcer = relay.MemberAnnouncer(
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
                ('join', joiner.tick, JOIN_INTERVAL),
                ('announce', announcer.tick, ANNOUNCE_INTERVAL),
            )
        ]

    def stop(self):
        """Hand leadership over and stop."""
        for stop in self._stop_tickers:
            stop()
        for part in (self._control, self._relay):
            if part is not None:
                part.stop()
        super().stop()

    def _learn(self, addresses):
        known = self._relay.members if self._relay is not None else []
        super()._learn([*known, *addresses])
