"""Coming back on the sockets: pauses noticed before anything is decided, old requests known by their age.

Made only where the operators' file has `recovery`. After a pause nothing is sent until discovery has spoken
again, or had its time to; what clients sent meanwhile is dated by the kernel's own time of its arrival.
"""

from __future__ import annotations

from typing import Any

from .. import logs
from ..recovery import resume
from ..recovery.admission_ramp import AfterPause, AfterStart, Usual
from ..recovery.quota_restore import Ledgers
from ..recovery.readiness import RETRIES, Left, Standing
from ..recovery.stall_detector import Pulse
from .invariants import count
from .tcp_state import since_last_data

LOOK_EVERY = 0.1  # s between looks, which are the beats
SEE_WAIT = 0.25  # s that sends wait for discovery's first word after a pause, as at a start
OLD_FOR = 2.0  # s after a pause in which bytes may still be read that came before its end


class Recovery:
    """One gateway's return after a start or a pause."""

    def __init__(self, reactor: Any, gateway: Any) -> None:
        self.reactor, self.gateway = reactor, gateway
        self.usual = Usual()
        self.pulse, self.standing = Pulse(), Standing(gateway.now())
        self.woke_at = self.gap = self.saved_up = 0.0
        self.seeing: Any = None  # the call that ends the wait for discovery
        gateway.decisions.quota_restore = Ledgers()
        gateway.pool.turn = lambda: self.turn(gateway.now())

    def start(self) -> None:
        """Begin to look."""
        self.standing = Standing(self.gateway.now())
        self.saved_up = self.gateway.decisions.retries.budget  # held back until it is known to be among few
        self.gateway.decisions.retries.budget = min(RETRIES, self.saved_up)
        self.look()

    def look(self) -> None:
        """Beat, and say when the state changes."""
        now, decisions = self.gateway.now(), self.gateway.decisions
        self.turn(now)
        heard = sum(
            decisions.peer_last_heard.get(p, 0.0) > self.standing.began and p in decisions.peer_incarnations
            for p in decisions.ring_neighbours
        )
        self.usual.look(now, self.gateway.tally["backend_calls"])
        causes = decisions.rejection_causes
        left = self.standing.look(
            now,
            heard,
            len(decisions.ring_neighbours),
            self.gateway.tally["success"],
            sum(n for why, n in causes.items() if why.startswith("inside")),
        )
        if left:
            self.tell(left)
        self.reactor.callLater(LOOK_EVERY, self.look)

    def tell(self, left: Left) -> None:
        """A state was left."""
        decisions = self.gateway.decisions
        many = self.standing.among_many(decisions.incarnation, decisions.peer_incarnations)
        if left.state == "full":
            decisions.admission_ramp = None
        succession = self.gateway.succession
        divided = succession is not None and succession.given is not None  # with the life before: not its own
        if left.state == "learning" and not many and not divided:
            decisions.retries.budget, self.saved_up = max(decisions.retries.budget, self.saved_up), 0.0
        logs.event(
            "recovery",
            state=left.state,
            before=left.before,
            why=left.why,
            among="many" if many else "few",
            after=round(left.after, 2),
        )

    def turn(self, now: float) -> bool:
        """Something is about to happen: whether the process stood still before it, be it in mid-turn."""
        if gap := self.pulse.beat(now):
            self.woken(now, gap)
        return gap > 0

    def woken(self, now: float, gap: float) -> None:
        """It did: age what is known, and send nothing by a list that may be old."""
        count("paused")
        self.gateway.decisions.admission_ramp = AfterPause(now, self.usual.rate)
        self.woke_at, self.gap = now, gap
        self.gateway.decisions.is_endpoint_list_stale = self.gateway.begun
        resume.wake(self.gateway.decisions, now, gap)
        for attempt in self.gateway.out.values():
            attempt.sent_at += gap  # its server had no time to answer meanwhile
        self.gateway.pool.drop_connecting()
        self.tell(self.standing.anew(now, f"stood still for {gap:.2f} s"))
        if self.gateway.begun:
            self.gateway.watch_again()
            if self.seeing is not None and self.seeing.active():
                self.seeing.cancel()
            self.seeing = self.reactor.callLater(SEE_WAIT, self.see)

    def listed(self, servers: int) -> None:
        """Servers are known: a start opens by its part of what they take."""
        d = self.gateway.decisions
        if d.admission_ramp is None and self.standing.state == "returning" and not self.woke_at and servers:
            d.admission_ramp = AfterStart(servers, d.settings.gateway_count)

    def told(self) -> None:
        """Discovery has spoken."""
        self.standing.listed = True
        self.gateway.decisions.is_endpoint_list_stale = False

    def see(self) -> None:
        """It had its time: go by the list there is."""
        if self.gateway.decisions.is_endpoint_list_stale:
            count("list_old_after_pause")
            self.gateway.decisions.is_endpoint_list_stale = False

    def waited(self, handle: Any, now: float) -> float:
        """Seconds that bytes about to be read have lain here, as far as a pause held them up.

        The kernel tells it of the newest bytes; a request before others of its connection is older yet.
        """
        self.turn(now)
        if now - self.woke_at > OLD_FOR:
            return 0.0
        age = since_last_data(handle)
        if age is None:  # nothing is known of it
            return 0.0
        return min(age, self.gap + now - self.woke_at)
