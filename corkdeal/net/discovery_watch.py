"""The watch that fetches discovery's list of backends, call after call."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet.defer import inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.task import deferLater
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from .. import interface as t
from .. import logs
from .discovery_snapshot import DiscoverySnapshot, ListError, parse_list
from .invariants import count

WAIT_MS = 2000  # how long one call of the watch may wait; one whose connection died tells nothing for so long
ANSWER_LATE = 1.0  # s past that after which a call counts as lost; the rules deem us told at 2 s
PLAIN_LATE = 3.0  # s for a call that need not wait
AGAIN, AGAIN_MOST = 0.1, 1.0  # s before another try after a failure, doubling, where calls cost nothing
AGAIN_PART = 0.8  # of the grace of a drain, at most: a later try would learn of the drain too late
SHARE = 0.1  # s for each gateway of the tier, over which calls that cost discovery work are spread
CONNECT_LATE = 1.0  # s
LONGEST = 4  # times that, at most, after failures: by then a service four times slower has time for everybody


class Unavailable(Exception):
    """Discovery has no answer now; the list held, and its revision, go on."""


@implementer(IAgentEndpointFactory)
class Endpoint:
    """The one address there is. Agent's own endpoints look names up, in a thread, even for an address."""

    def __init__(self, reactor: Any, at: tuple[str, int]) -> None:
        self.made = TCP4ClientEndpoint(reactor, *at, timeout=CONNECT_LATE)

    def endpointForURI(self, uri: Any) -> TCP4ClientEndpoint:
        """Discovery's endpoint."""
        return self.made


class Watch:
    """One endless watch; each good list goes to `told`, a bad one is logged and kept out.

    It begins from the list `held`, if there is one, and asks for what is newer. Lines cost discovery work;
    where it is one service of fixed capacity, all gateways asking for all lines at once, again after each
    failure, keep it from answering anybody. There calls are also spread over the tier's time, by chance.
    """

    def __init__(
        self,
        reactor: Any,
        at: tuple[str, int],
        settings: t.Settings,
        told: Callable[[DiscoverySnapshot], None],
        held: DiscoverySnapshot | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.reactor, self.settings, self.told = reactor, settings, told
        self.rng = rng or random.Random()
        self.revision = held.revision if held and held.complete else None  # None asks for the whole list
        self.met = False  # whether it was told anything yet
        share = SHARE * settings.gateways
        # where lists are pushed, what there is when discovery is back counts as told at once
        soon = max(AGAIN, min(AGAIN_MOST, AGAIN_PART * settings.drain_grace))
        self.least, self.most = (
            (AGAIN, soon) if settings.list_pushed else (share, max(LONGEST * share, settings.ask_every))
        )
        self.url = f"http://{at[0]}:{at[1]}/v1/servers".encode()
        self.pool = HTTPConnectionPool(reactor, persistent=True)
        self.pool.retryAutomatically = False
        self.agent = Agent.usingEndpointFactory(reactor, Endpoint(reactor, at), self.pool)
        self.running, self.again = False, 0.0
        self.waiting: Any = None  # what the call that is out waits for

    @inlineCallbacks
    def run(self) -> Any:
        """Call again and again: after a bad list for all of it, after a mere failure for what is newer."""
        self.running = True
        if self.revision is not None and not self.settings.list_pushed:
            yield deferLater(self.reactor, self.least * self.rng.random())
        while self.running:
            try:
                result = yield from self.call()
            except Exception as error:  # discovery may be down, silent or wrong: the list held goes on
                if not self.running:
                    return
                count("discovery_failed")
                if not self.again:
                    logs.event("discovery_failed", error=f"{type(error).__name__}: {error}")
                self.again = min(self.most, max(self.least, 2 * self.again))
                if isinstance(error, ListError):
                    self.revision = None
                yield deferLater(self.reactor, self.again * self.rng.random())
                continue
            self.again = 0.0
            if self.revision is not None and result.revision < self.revision:  # discovery began anew
                count("discovery_began_anew")
                self.revision = None
                continue
            first, self.met, self.revision = not self.met, True, result.revision
            if self.running and (first or result.complete or result.entries):
                self.told(result)

    @inlineCallbacks
    def call(self) -> Any:
        """One call: the whole list at once, or what is newer than the list held."""
        url, limit = self.url, PLAIN_LATE
        if self.revision is not None:
            wait = WAIT_MS if self.met else 0  # the first word lets clients in
            url = b"%b?after=%d&wait_ms=%d" % (url, self.revision, wait)
            limit = WAIT_MS / 1000 + ANSWER_LATE
        until = self.reactor.seconds() + limit  # for head and body together: either may fall silent
        self.waiting = asked = self.agent.request(b"GET", url)
        asked.addTimeout(limit, self.reactor)
        response = yield asked
        self.waiting = reading = readBody(response)
        reading.addTimeout(max(0.0, until - self.reactor.seconds()), self.reactor)
        body = yield reading
        if response.code >= 500:
            raise Unavailable(f"discovery answered {response.code}")
        if response.code != 200:
            raise ListError(f"discovery answered {response.code}")
        return parse_list(orjson.loads(body), self.settings)

    def stop(self) -> None:
        """Make no further call, end the one that is out, and tell nothing more."""
        if self.running:
            self.running = False
            if self.waiting is not None:
                self.waiting.cancel()
            self.pool.closeCachedConnections()
