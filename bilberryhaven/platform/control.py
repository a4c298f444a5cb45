"""The control role as the infrastructure runs it: wiring only."""

import msgspec

from bilberryhaven import clock as clocks
from bilberryhaven.control import keeper
from bilberryhaven.platform import faces
from bilberryhaven.platform import roles
from bilberryhaven.platform import settings as platform_settings
from bilberryhaven.roles import control
from bilberryhaven import ticker

__all__ = ['ControlRole']

JOIN_INTERVAL = clocks.seconds(0.5)
OPERATOR_THREADS = 12


@roles.register('control')
class ControlRole(roles.Role):
    """Serves operators, and holds a replica of the log where a disk is.

    Without a disk nothing that was acknowledged would last, so such an
    instance only passes operators' requests on to the leader.
    """

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self._stop_joiner = None
        self._control = None
        if self._deployment.has_disk:
            self._control = self._build_control()
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
            keep_members=True,
        )

    def start(self):
        """Join the quorum and listen."""
        if self._control is None:
            super().start()
            return
        self._control.start()
        super().start()
        joiner = keeper.Joiner(
            replica=self._control.replica,
            gateway=self._gateway,
            clock=self._clock,
        )
        self._stop_joiner = ticker.Ticker.launch(
            name='join',
            func=joiner.tick,
            interval=JOIN_INTERVAL,
            clock=self._clock,
        )

    def stop(self):
        """Hand leadership over and stop."""
        if self._control is not None:
            self._stop_joiner()
            self._control.stop()
        super().stop()
