"""Watches discovery's endpoint list by repeated long-polling calls."""

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

# how long one call may wait for a change; a call on a dead connection is silent for that long
LONG_POLL_MS = 2000
# s after LONG_POLL_MS at which a call counts as lost; the rules deem a gateway notified at 2 s
RESPONSE_GRACE = 1.0
CALL_TIMEOUT = 3.0  # s; timeout of a call that does not wait for a change
CONNECT_TIMEOUT = 1.0  # s; timeout for connecting
MAX_BODY = 32 << 20  # bytes of one response; a list of thousands of backends takes less than 1 MiB
OVERLOAD_STATUSES = {429, 503}  # HTTP status codes of an overloaded service
# s; a call rejected later than this had been queued by discovery; one rejected sooner has cost it no work
QUEUED_AFTER = 1.0


class UnavailableError(Exception):
    """Discovery is unavailable; the current list and its revision stay in use."""


class OverloadedError(UnavailableError):
    """Discovery rejected a call after queueing it."""


@implementer(IAgentEndpointFactory)
class DiscoveryEndpointFactory:
    """The one address of discovery. Agent's own endpoints look names up in a thread, even for an address."""

    def __init__(self, reactor: Any, address: tuple[str, int]) -> None:
        self.endpoint = TCP4ClientEndpoint(reactor, *address, timeout=CONNECT_TIMEOUT)

    def endpointForURI(self, uri: Any) -> TCP4ClientEndpoint:
        """Return the endpoint of discovery, whatever the URI."""
        return self.endpoint


class Body(Protocol):
    """The body of one response. Cancelled, it closes the connection, which Twisted's `readBody` does not."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.size = 0  # bytes
        self.done: Deferred[bytes] = Deferred(lambda _: self.close())

    def close(self) -> None:
        """Close the connection."""
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Keep received bytes, or close the connection past `MAX_BODY`."""
        self.size += len(data)
        if self.size > MAX_BODY:
            self.parts.clear()
            self.close()
        else:
            self.parts.append(data)

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """The body ended. Without a length it ends with its connection; a truncated one is invalid JSON."""
        if self.done.called:
            return
        if self.size > MAX_BODY:
            self.done.errback(ListError(f"response exceeds {MAX_BODY} bytes"))
        elif reason.check(ResponseDone, PotentialDataLoss):
            self.done.callback(b"".join(self.parts))
        else:
            self.done.errback(reason)


class DiscoveryWatch:
    """A watch that runs until stopped; valid lists go to `on_snapshot`, invalid ones are logged and ignored.

    It starts from the list `initial`, if given, and asks for changes since. Each entry of a list costs
    discovery work. Where discovery is a single service of fixed capacity, a tier of gateways that all ask for
    the whole list at once, and again after each failure, would keep it from answering any of them. For such a
    service, calls are also spread at random over a time proportional to the size of the tier.
    """

    def __init__(
        self,
        reactor: Any,
        address: tuple[str, int],
        settings: Settings,
        on_snapshot: Callable[[DiscoverySnapshot], None],
        initial: DiscoverySnapshot | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.reactor, self.settings, self.on_snapshot = reactor, settings, on_snapshot
        # None asks for the whole list
        self.revision = initial.revision if initial and initial.complete else None
        self.has_received = False  # whether any list was received yet
        self.pauses = RetryPauses(settings, rng or random.Random())
        self.url = f"http://{address[0]}:{address[1]}/v1/servers".encode()
        self.pool = HTTPConnectionPool(reactor, persistent=True)
        self.pool.retryAutomatically = False
        self.agent = Agent.usingEndpointFactory(
            reactor, DiscoveryEndpointFactory(reactor, address), self.pool
        )
        self.running = False
        self.pending: Any = None  # the Deferred that the pending call waits for

    @inlineCallbacks
    def run(self) -> Any:
        """Call discovery until stopped: for the whole list after an invalid one, else for changes."""
        self.running = True
        if self.revision is not None and (wait := self.pauses.before_first_call()):
            yield deferLater(self.reactor, wait)
        while self.running:
            started = self.reactor.seconds()
            try:
                result = yield from self.call()
                self.apply(result)
            except Exception as error:  # discovery may be down, silent or faulty; the list is kept
                if self.running:
                    yield deferLater(
                        self.reactor, self.handle_failure(error, self.reactor.seconds() - started)
                    )
            else:
                self.pauses.after_success()

    def handle_failure(self, error: Exception, elapsed: float) -> float:
        """Record a failed call; return the seconds until the next one."""
        count("discovery_failed")
        if not self.pauses.failing:
            logs.event("discovery_failed", error=f"{type(error).__name__}: {error}")
        if isinstance(error, ListError):
            self.revision = None
        self.pool.closeCachedConnections()  # a connection that died during the pause would fail the next call
        return self.pauses.after_failure(elapsed, isinstance(error, OverloadedError))

    def apply(self, result: DiscoverySnapshot) -> None:
        """Apply a valid list, or ask for the whole list if discovery has restarted its revisions."""
        if self.revision is not None and result.revision < self.revision:
            count("discovery_began_anew")
            self.revision = None
            return
        is_first, self.has_received = not self.has_received, True
        if self.running and (is_first or result.complete or result.entries):
            self.notify(result)
        # not reached if `notify` raised, so the next call asks for this list again
        self.revision = result.revision

    def notify(self, result: DiscoverySnapshot) -> None:
        """Pass a list to `on_snapshot`; an exception there fails the call and must not end the watch."""
        try:
            self.on_snapshot(result)
        except Exception:
            count("list_not_taken")
            logs.event("endpoint_list_not_applied", revision=result.revision, trace=traceback.format_exc())
            raise

    @inlineCallbacks
    def call(self) -> Any:
        """Make one call, for the whole list or for changes since the current one."""
        url, limit, wait = self.url, CALL_TIMEOUT, 0
        if self.revision is not None:
            # No long poll before the first list, since clients are accepted only after it. None after a
            # failure either: discovery may then queue the call, and the time in its queue and the wait for a
            # change together could exceed the call's time limit.
            wait = LONG_POLL_MS if self.has_received and not self.pauses.failing else 0
            url = b"%b?after=%d&wait_ms=%d" % (url, self.revision, wait)
            limit = LONG_POLL_MS / 1000 + RESPONSE_GRACE
        started = self.reactor.seconds()
        deadline = started + limit  # for headers and body together: either may stall
        self.pending = request = self.agent.request(b"GET", url)
        request.addTimeout(limit, self.reactor)
        response = yield request
        body = Body()
        self.pending = body_received = body.done
        body_received.addTimeout(max(0.0, deadline - self.reactor.seconds()), self.reactor)
        response.deliverBody(body)
        text = yield body_received
        if (
            response.code in OVERLOAD_STATUSES
            and not wait
            and self.reactor.seconds() - started >= QUEUED_AFTER
        ):
            raise OverloadedError(f"discovery returned HTTP status {response.code}")
        if response.code >= 500 or response.code in OVERLOAD_STATUSES:
            raise UnavailableError(f"discovery returned HTTP status {response.code}")
        if response.code != 200:
            raise ListError(f"discovery returned HTTP status {response.code}")
        return parse_list(orjson.loads(text), self.settings)

    def stop(self) -> None:
        """Stop: cancel the pending call, make no further ones and pass on no further list."""
        if self.running:
            self.running = False
            if self.pending is not None:
                self.pending.cancel()
            self.pool.closeCachedConnections()
