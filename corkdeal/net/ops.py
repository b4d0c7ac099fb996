"""The operations address: HTTP/1.1 for operators, on Twisted's web server, one call a connection.

Every call is answered in the turn of the reactor in which it came whole: nothing here waits for a backend,
discovery or a peer, so an answer is as late as the reactor is busy and no later. A caller that sends
nothing, or half a call, holds one descriptor until `IDLE` and delays nobody. Yes is 200, no is 4xx or 5xx;
bodies are JSON.

    GET /status                     200 while ready to serve, 503 before that, on standby or while ending
    GET /status/metrics             the figures below, as one JSON object
    PUT /maintenance/enter/ID       hold backend ID out (404 for an id that no list names and none holds out)
    PUT /maintenance/exit/ID        let it back, as a cold backend (404 where it was not held out)
    PUT /standby                    drain: PING turns, client connections close as they fall idle
    PUT /active                     end the drain; without a restart

Unknown paths get 404, a known path with the wrong method 405; what is no HTTP gets Twisted's 400. None of
these changes anything.
"""

from __future__ import annotations

import urllib.parse
from typing import Any

import orjson
from twisted.internet.error import ConnectionAborted
from twisted.protocols.policies import WrappingFactory
from twisted.python.failure import Failure
from twisted.web import resource, server

from .config import text_of
from .invariants import count

IDLE = 5.0  # s that a connection may stay without a whole call; callers are known to stay 4 s
CALLERS_MOST = 8  # connections at a time; their descriptors come out of what is kept for the process itself
PREFIX = "app_"  # of the figures' names
PUT_CALLS = ("standby", "active")
HOLD_CALLS = ("enter", "exit")


def reply(request: Any, code: int, body: dict[str, Any]) -> bytes:
    """A JSON answer; the connection ends after it."""
    request.setResponseCode(code)
    request.setHeader(b"content-type", b"application/json")
    request.setHeader(b"connection", b"close")
    return orjson.dumps(body)


class Calls(resource.Resource):
    """The six calls, on one gateway."""

    isLeaf = True

    def __init__(self, operators: Any) -> None:
        super().__init__()
        self.operators = operators

    def path(self, request: Any) -> list[str]:
        """The path's parts, decoded; an empty part at the end is no part."""
        parts = [urllib.parse.unquote(p.decode("latin-1")) for p in request.postpath]
        return parts[:-1] if parts and not parts[-1] else parts

    def render(self, request: Any) -> bytes:
        """Methods other than these three are a no of the caller's, 405, not Twisted's 501."""
        if request.method not in (b"GET", b"HEAD", b"PUT"):
            request.setHeader(b"allow", b"GET, HEAD, PUT")
            return reply(request, 405, {"word": "NO", "error": "method not allowed"})
        return super().render(request)

    def render_GET(self, request: Any) -> bytes:
        """Status and figures."""
        parts = self.path(request)
        if parts == ["status"]:
            ready = self.operators.ready
            return reply(
                request,
                200 if ready else 503,
                {"word": "YES" if ready else "NO", "state": self.operators.state()},
            )
        if parts == ["status", "metrics"]:
            return reply(request, 200, {PREFIX + k: v for k, v in self.operators.figures().items()})
        return self.not_here(request, parts, "GET")

    def render_PUT(self, request: Any) -> bytes:
        """Maintenance, standby and active."""
        parts, word = self.path(request), self.operators
        if len(parts) == 3 and parts[0] == "maintenance" and parts[1] in HOLD_CALLS and parts[2]:
            done = word.hold_out(parts[2]) if parts[1] == "enter" else word.let_back(parts[2])
            if done is None:
                return reply(request, 404, {"word": "NO", "error": "no backend of that id"})
            return reply(request, 200, {"word": "YES", "id": parts[2], "changed": done})
        if len(parts) == 1 and parts[0] in PUT_CALLS:
            changed = word.stand_by() if parts[0] == "standby" else word.stand_up()
            return reply(request, 200, {"word": "YES", "changed": changed, "state": word.state()})
        return self.not_here(request, parts, "PUT")

    def render_HEAD(self, request: Any) -> bytes:
        """As GET, without the body; Twisted leaves the body out."""
        return self.render_GET(request)

    def not_here(self, request: Any, parts: list[str], method: str) -> bytes:
        """405 for a path that the other method knows, else 404."""
        gets = parts in (["status"], ["status", "metrics"])
        puts = (len(parts) == 1 and parts[0] in PUT_CALLS) or (
            len(parts) == 3 and parts[0] == "maintenance" and parts[1] in HOLD_CALLS
        )
        if (gets and method != "GET") or (puts and method != "PUT"):
            request.setHeader(b"allow", b"GET, HEAD" if gets else b"PUT")
            return reply(request, 405, {"word": "NO", "error": f"{method} is not allowed here"})
        return reply(request, 404, {"word": "NO", "error": "no such call"})


class Site(server.Site):
    """Twisted's site, quiet, with a short patience for callers that don't finish."""

    noisy = False

    def log(self, request: Any) -> None:
        """No access log: calls are few and the gateway's own log says what they changed."""


class FewCallers(WrappingFactory):
    """Takes so many callers at a time; beyond that the one goes that has been connected for longest.

    An answer is written in the turn in which its call came, so that one has hardly made a whole call.
    """

    noisy = False

    def buildProtocol(self, addr: Any) -> Any:
        """Take a caller; Twisted's own `protocols` holds those that are connected, the oldest first."""
        if len(self.protocols) >= CALLERS_MOST:
            count("ops_caller_closed_for_another")
            next(iter(self.protocols)).transport.connectionLost(Failure(ConnectionAborted()))
        return super().buildProtocol(addr)


def listen(reactor: Any, at: tuple[str, int], operators: Any) -> Any:
    """Open the operations address, on this address only."""
    from .. import logs

    port = reactor.listenTCP(at[1], FewCallers(Site(Calls(operators), timeout=IDLE)), interface=at[0])
    logs.event("ops_listening", at=text_of(at))
    return port
