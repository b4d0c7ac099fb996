"""The operations address: an HTTP/1.1 server for operators, on Twisted's web server.

Each connection carries one request. It is answered in the reactor iteration in which it was received
completely, because no handler waits for a backend, discovery or a peer; only a busy reactor delays an answer.
A caller that sends nothing, or part of a request, holds one descriptor for at most REQUEST_TIMEOUT s and
delays no other. Success is 200, failure 4xx or 5xx; bodies are JSON.

    GET /status                     200 while ready to serve; 503 before, on standby and during shutdown
    GET /status/metrics             the gateway's metrics, as one JSON object
    PUT /maintenance/enter/ID       hold backend ID out (404 for an id neither listed nor held out)
    PUT /maintenance/exit/ID        return it to service as a cold backend (404 for an id neither listed nor
                                    held out)
    PUT /standby                    drain: PING gets an error, client connections close as they become idle
    PUT /active                     end the drain without a restart

Unknown paths get 404, a known path with the wrong method 405; malformed HTTP gets Twisted's 400. None of
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

from .config import format_address
from .invariants import count

REQUEST_TIMEOUT = 5.0  # s to receive a complete request; callers are known to take 4 s
MAX_CONNECTIONS = 8  # concurrent connections; they use descriptors reserved for the process itself
METRIC_PREFIX = "app_"  # of the metrics' names
PUT_PATHS = ("standby", "active")
MAINTENANCE_ACTIONS = ("enter", "exit")


def json_response(request: Any, code: int, body: dict[str, Any]) -> bytes:
    """Set status and headers of a JSON response, and return its body; the connection closes after it."""
    request.setResponseCode(code)
    request.setHeader(b"content-type", b"application/json")
    request.setHeader(b"connection", b"close")
    return orjson.dumps(body)


class OperationsResource(resource.Resource):
    """The HTTP resource with the six operations on one gateway."""

    isLeaf = True

    def __init__(self, operators: Any) -> None:
        super().__init__()
        self.operators = operators

    def path_segments(self, request: Any) -> list[str]:
        """The decoded segments of the path, without an empty last one."""
        parts = [urllib.parse.unquote(p.decode("latin-1")) for p in request.postpath]
        return parts[:-1] if parts and not parts[-1] else parts

    def render(self, request: Any) -> bytes:
        """Answer methods other than GET, HEAD and PUT with 405; Twisted would answer 501."""
        if request.method not in (b"GET", b"HEAD", b"PUT"):
            request.setHeader(b"allow", b"GET, HEAD, PUT")
            return json_response(request, 405, {"word": "NO", "error": "method not allowed"})
        return super().render(request)

    def render_GET(self, request: Any) -> bytes:
        """Answer requests for status and metrics."""
        parts = self.path_segments(request)
        if parts == ["status"]:
            is_ready = self.operators.is_ready
            return json_response(
                request,
                200 if is_ready else 503,
                {"word": "YES" if is_ready else "NO", "state": self.operators.state()},
            )
        if parts == ["status", "metrics"]:
            return json_response(
                request, 200, {METRIC_PREFIX + k: v for k, v in self.operators.metrics().items()}
            )
        return self.reject_path(request, parts, "GET")

    def render_PUT(self, request: Any) -> bytes:
        """Carry out maintenance, standby and active."""
        parts, operators = self.path_segments(request), self.operators
        if len(parts) == 3 and parts[0] == "maintenance" and parts[1] in MAINTENANCE_ACTIONS and parts[2]:
            changed = (
                operators.hold_out(parts[2]) if parts[1] == "enter" else operators.return_to_service(parts[2])
            )
            if changed is None:
                return json_response(request, 404, {"word": "NO", "error": "no backend of that id"})
            return json_response(request, 200, {"word": "YES", "id": parts[2], "changed": changed})
        if len(parts) == 1 and parts[0] in PUT_PATHS:
            changed = operators.enter_standby() if parts[0] == "standby" else operators.end_standby()
            return json_response(
                request, 200, {"word": "YES", "changed": changed, "state": operators.state()}
            )
        return self.reject_path(request, parts, "PUT")

    def render_HEAD(self, request: Any) -> bytes:
        """Answer as for GET; Twisted omits the body."""
        return self.render_GET(request)

    def reject_path(self, request: Any, parts: list[str], method: str) -> bytes:
        """Answer 405 for a path that exists for another method, else 404."""
        is_get_path = parts in (["status"], ["status", "metrics"])
        is_put_path = (len(parts) == 1 and parts[0] in PUT_PATHS) or (
            len(parts) == 3 and parts[0] == "maintenance" and parts[1] in MAINTENANCE_ACTIONS
        )
        if (is_get_path and method != "GET") or (is_put_path and method != "PUT"):
            request.setHeader(b"allow", b"GET, HEAD" if is_get_path else b"PUT")
            return json_response(request, 405, {"word": "NO", "error": f"{method} is not allowed here"})
        return json_response(request, 404, {"word": "NO", "error": "no such call"})


class Site(server.Site):
    """Twisted's site without its own log lines."""

    noisy = False

    def log(self, request: Any) -> None:
        """Write no access log: requests are few, and the gateway logs what they change."""


class ConnectionLimiter(WrappingFactory):
    """Limits the number of concurrent connections by closing the oldest one for a new one.

    An answer is written in the reactor iteration in which its request was received, so the oldest connection
    hardly ever has a complete request.
    """

    noisy = False

    def buildProtocol(self, addr: Any) -> Any:
        """Accept a connection; Twisted's own `protocols` holds the open ones, the oldest first."""
        if len(self.protocols) >= MAX_CONNECTIONS:
            count("ops_caller_closed_for_another")
            next(iter(self.protocols)).transport.connectionLost(Failure(ConnectionAborted()))
        return super().buildProtocol(addr)


def listen(reactor: Any, address: tuple[str, int], operators: Any) -> Any:
    """Listen on the operations address, and on no other interface."""
    from .. import logs

    port = reactor.listenTCP(
        address[1],
        ConnectionLimiter(Site(OperationsResource(operators), timeout=REQUEST_TIMEOUT)),
        interface=address[0],
    )
    logs.event("ops_listening", at=format_address(address))
    return port
