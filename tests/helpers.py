"""Builders for settings, events and small tiers of gateways, without a network."""

from corkdeal.decisions.actions import SendToPeer, StartAttempt
from corkdeal.decisions.events import (
    AttemptEnded,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    PeerMessage,
    Request,
    Status,
    TimerExpired,
    UpdateKind,
)
from corkdeal.decisions.gateway import Gateway
from corkdeal.decisions.settings import Effect, Plan, RequestClass, Settings

SAFE = RequestClass(latency_objective=1.0, deadline=3.0)
UNSAFE = RequestClass(latency_objective=1.0, deadline=3.0, effect=Effect.NOT_IDEMPOTENT)
PLAN = Plan(rate=6.0, burst=30.0)


def settings(me=0, gateways=3, classes=(SAFE, UNSAFE), plans=(PLAN,), **more):
    given = {
        "max_attempts": 4,
        "may_cancel": True,
        "may_message_peers": True,
        "peer_message_rate": 60.0,
        "may_send_retry_after": True,
        "max_retry_after": 1.0,
    }
    given.update(more)
    return Settings(gateway_index=me, gateway_count=gateways, classes=classes, plans=plans, **given)


def servers(*names, started=0.0, kind=UpdateKind.COMPLETE, state=EndpointState.READY, zones=None):
    zones = zones or [0] * len(names)
    return EndpointUpdate(
        kind,
        tuple(Endpoint(n, state, zone=z, cell=z, started=started) for n, z in zip(names, zones, strict=True)),
    )


def request(rid, customer=7, units=1.0, cls=0, timeout=3.0, spread=3, first=0, **more):
    return Request(rid, customer, more.pop("plan", 0), cls, units, first, spread, timeout, **more)


def outcome(rid, attempt, server, status=Status.OK, elapsed=0.1, final=None, **more):
    final = status is Status.OK if final is None else final
    return AttemptEnded(rid, attempt, server, status, elapsed, final, **more)


def pick(actions, kind):
    return [a for a in actions if isinstance(a, kind)]


class FakeTier:
    """A tier of gateways that exchange peer messages; tests can drop, duplicate or delay them."""

    spread = 3

    def __init__(self, gateways=3, plan=PLAN):
        self.plan, self.now = plan, 100.0
        self.gateways = {}
        self.lost = lambda sender, to, number: False
        self.repeat, self.delay, self.in_flight, self.number = 1, 0.02, [], 0
        for me in range(gateways):
            self.start(me, gateways)

    def start(self, me, gateways=3):
        g = self.gateways[me] = Gateway(settings(me, gateways, plans=(self.plan,)), seed=me)
        self.process_actions(me, g.handle(self.now, [servers("a", "b", "c")]))

    def process_actions(self, me, actions):
        for send in pick(actions, SendToPeer):
            self.number += 1
            if not self.lost(me, send.peer, self.number):
                for copy in range(self.repeat):
                    self.in_flight.append((self.now + self.delay * (1 + copy), me, send.peer, send.payload))

    def run(self, seconds, ask=None):
        """Advance time in steps of 50 ms; `ask(gateway)` returns the units requested there in each step."""
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            arrived = [m for m in self.in_flight if m[0] <= self.now]
            self.in_flight = [m for m in self.in_flight if m[0] > self.now]
            for _, sender, to, payload in arrived:
                if to in self.gateways:
                    replies = self.gateways[to].handle(self.now, [PeerMessage(sender, payload)])
                    self.process_actions(to, replies)
            for me, g in list(self.gateways.items()):
                events = [TimerExpired(0)]
                if ask and ask(me):
                    self.number += 1
                    events.append(request(self.number, units=ask(me), spread=self.spread))
                actions = g.handle(self.now, events)
                for send in pick(actions, StartAttempt):
                    g.handle(self.now, [outcome(send.id, 0, send.backend, elapsed=0.01)])
                self.process_actions(me, actions)

    def quota_shares(self):
        return {me: g.accounts[7].base_share() for me, g in self.gateways.items() if 7 in g.accounts}
