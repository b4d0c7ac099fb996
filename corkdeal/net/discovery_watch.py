"""The watch that fetches discovery's list of backends, call after call."""

from __future__ import annotations

import random
import traceback
from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Protocol
from twisted.internet.task import deferLater
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from .. import logs
from ..decisions.settings import Settings
from .discovery_retry import RetryPauses
from .discovery_snapshot import DiscoverySnapshot, ListError, parse_list
from .invariants import count

WAIT_MS = 2000  # how long one call of the watch may wait; one whose connection died tells nothing for so long
ANSWER_LATE = 1.0  # s past that after which a call counts as lost; the rules deem us told at 2 s
PLAIN_LATE = 3.0  # s for a call that need not wait
CONNECT_LATE = 1.0  # s
MOST_BODY = 32 << 20  # bytes of one answer; a list of thousands of backends takes under one
TURNED_AWAY = {429, 503}  # what an overloaded service answers
IN_LINE = 1.0  # s after which it has waited in line before: at once, it has cost no work


class UnavailableError(Exception):
    """Discovery has no answer now; the list held, and its revision, go on."""


class OverloadedError(UnavailableError):
    """Discovery turned a call away that had waited in its line."""


@implementer(IAgentEndpointFactory)
class Endpoint:
    """The one address there is. Agent's own endpoints look names up, in a thread, even for an address."""

    def __init__(self, reactor: Any, at: tuple[str, int]) -> None:
        self.made = TCP4ClientEndpoint(reactor, *at, timeout=CONNECT_LATE)

    def endpointForURI(self, uri: Any) -> TCP4ClientEndpoint:
        """Discovery's endpoint."""
        return self.made


class Body(Protocol):
    """The body of one answer. Given up, it closes the connection, which Twisted's `readBody` leaves open."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.size = 0  # bytes
        self.done: Deferred[bytes] = Deferred(lambda _: self.close())

    def close(self) -> None:
        """Take no more of it."""
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Keep a part, unless there are too many already."""
        self.size += len(data)
        if self.size > MOST_BODY:
            self.parts.clear()
            self.close()
        else:
            self.parts.append(data)

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """The end of the body; one without a length ends with its connection, and cut off it is no JSON."""
        if self.done.called:
            return
        if self.size > MOST_BODY:
            self.done.errback(ListError(f"a list of over {MOST_BODY} bytes"))
        elif reason.check(ResponseDone, PotentialDataLoss):
            self.done.callback(b"".join(self.parts))
        else:
            self.done.errback(reason)


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
        settings: Settings,
        told: Callable[[DiscoverySnapshot], None],
        held: DiscoverySnapshot | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.reactor, self.settings, self.told = reactor, settings, told
        self.revision = held.revision if held and held.complete else None  # None asks for the whole list
        self.met = False  # whether it was told anything yet
        self.pauses = RetryPauses(settings, rng or random.Random())
        self.url = f"http://{at[0]}:{at[1]}/v1/servers".encode()
        self.pool = HTTPConnectionPool(reactor, persistent=True)
        self.pool.retryAutomatically = False
        self.agent = Agent.usingEndpointFactory(reactor, Endpoint(reactor, at), self.pool)
        self.running = False
        self.waiting: Any = None  # what the call that is out waits for

    @inlineCallbacks
    def run(self) -> Any:
        """Call again and again: after a bad list for all of it, after a mere failure for what is newer."""
        self.running = True
        if self.revision is not None and (wait := self.pauses.before_first_call()):
            yield deferLater(self.reactor, wait)
        while self.running:
            begun = self.reactor.seconds()
            try:
                result = yield from self.call()
                self.take(result)
            except Exception as error:  # discovery may be down, silent or wrong: the list held goes on
                if self.running:
                    yield deferLater(self.reactor, self.failed(error, self.reactor.seconds() - begun))
            else:
                self.pauses.after_success()

    def failed(self, error: Exception, took: float) -> float:
        """Note a failed call; how many seconds to wait until the next one."""
        count("discovery_failed")
        if not self.pauses.failing:
            logs.event("discovery_failed", error=f"{type(error).__name__}: {error}")
        if isinstance(error, ListError):
            self.revision = None
        self.pool.closeCachedConnections()  # one that fell silent in the pause would cost another call
        return self.pauses.after_failure(took, isinstance(error, OverloadedError))

    def take(self, result: DiscoverySnapshot) -> None:
        """Follow a good list: tell it, or ask for all of it where discovery began anew."""
        if self.revision is not None and result.revision < self.revision:
            count("discovery_began_anew")
            self.revision = None
            return
        first, self.met = not self.met, True
        if self.running and (first or result.complete or result.entries):
            self.tell(result)
        self.revision = result.revision  # last: what could not be told is asked for again

    def tell(self, result: DiscoverySnapshot) -> None:
        """Tell a list; a fault in who is told fails the call, and must not end the watch."""
        try:
            self.told(result)
        except Exception:
            count("list_not_taken")
            logs.event("list_not_taken", revision=result.revision, trace=traceback.format_exc())
            raise

    @inlineCallbacks
    def call(self) -> Any:
        """One call: the whole list at once, or what is newer than the list held."""
        url, limit, wait = self.url, PLAIN_LATE, 0
        if self.revision is not None:
            # the first word lets clients in; after a failure there may be a line, and no time to wait as well
            wait = WAIT_MS if self.met and not self.pauses.failing else 0
            url = b"%b?after=%d&wait_ms=%d" % (url, self.revision, wait)
            limit = WAIT_MS / 1000 + ANSWER_LATE
        begun = self.reactor.seconds()
        until = begun + limit  # for head and body together: either may fall silent
        self.waiting = asked = self.agent.request(b"GET", url)
        asked.addTimeout(limit, self.reactor)
        response = yield asked
        body = Body()
        self.waiting = reading = body.done
        reading.addTimeout(max(0.0, until - self.reactor.seconds()), self.reactor)
        response.deliverBody(body)
        text = yield reading
        if response.code in TURNED_AWAY and not wait and self.reactor.seconds() - begun >= IN_LINE:
            raise OverloadedError(f"discovery answered {response.code}")
        if response.code >= 500 or response.code in TURNED_AWAY:
            raise UnavailableError(f"discovery answered {response.code}")
        if response.code != 200:
            raise ListError(f"discovery answered {response.code}")
        return parse_list(orjson.loads(text), self.settings)

    def stop(self) -> None:
        """Make no further call, end the one that is out, and tell nothing more."""
        if self.running:
            self.running = False
            if self.waiting is not None:
                self.waiting.cancel()
            self.pool.closeCachedConnections()
