"""What operators ask of a gateway and tell it: state, figures, standby, backends out by hand.

`ops.py` speaks HTTP for it; nothing here waits for anything.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from .. import logs
from .backends import Backends


class Operators:
    """The operators' word on one gateway, and the figures they read."""

    def __init__(self, gateway: Any, backends: Backends) -> None:
        self.gateway, self.backends, self.overrides = gateway, backends, backends.overrides
        self.standby = False  # PING turns and client connections close as they fall idle
        self.tally: Counter[str] = Counter()  # answers by kind, attempts and reloads

    @property
    def ready(self) -> bool:
        """Whether this process wants new clients: it serves, and neither drains nor stands by."""
        return self.gateway.started and not (self.gateway.draining or self.standby)

    def state(self) -> str:
        """In a word."""
        return (
            "ending"
            if self.gateway.draining
            else "standby"
            if self.standby
            else "serving"
            if self.gateway.started
            else "starting"
        )

    def figures(self) -> dict[str, int]:
        """Answers by kind since the start, and the backends as listed now."""
        listed, down = self.backends.counts()
        tally = {k: self.tally[k] for k in ("success", "busy", "failure", "backend_calls")}
        return {
            **tally,
            "inflight": len(self.gateway.rpcs),
            "hosts_listed": listed,
            "hosts_down": down,
            "reconfig_ok": self.tally["reconfig_ok"],
            "reconfig_failed": self.tally["reconfig_failed"],
            "loop_late_ms": round(1000 * self.gateway.lateness.most),
        }

    def stand_by(self) -> bool:
        """Drain without ending: PING says no, idle clients' connections close. Whether that is news."""
        if self.standby:
            return False
        self.standby = True
        logs.event(
            "standby", open=len(self.gateway.rpcs), client_connections=len(self.gateway.client_connections)
        )
        for each in list(self.gateway.client_connections):
            each.close_when_idle()
        return True

    def stand_up(self) -> bool:
        """End a standby; new client connections stay open again. Whether that is news."""
        if not self.standby:
            return False
        self.standby = False
        logs.event("active")
        return True

    def follow(self) -> None:
        """Take on what operators told another life of this gateway, while both serve."""
        for server in sorted(self.overrides.follow()) if self.overrides is not None else ():
            logs.event("held_elsewhere", server=server, out=server in self.overrides.out)
            self.backends.retell(server)

    def hold_out(self, server: str) -> bool | None:
        """Send that backend nothing new, whatever the list says; None for an id that nobody has."""
        assert self.overrides is not None
        if not self.backends.known(server):
            return None
        self.follow()  # so that what is written holds all that was told
        new = self.overrides.enter(server)
        logs.event("held_out", server=server, new=new)
        self.backends.retell(server)
        return new

    def let_back(self, server: str) -> bool | None:
        """Take that backend back, as one just started; None for an id that nobody has."""
        assert self.overrides is not None
        if not self.backends.known(server):
            return None
        self.follow()
        back = self.overrides.exit(server, self.gateway.now())
        logs.event("let_back", server=server, new=back)
        self.backends.retell(server)
        return back
