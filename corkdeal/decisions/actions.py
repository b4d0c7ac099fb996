"""What a gateway does: actions that the decisions return for the host to carry out. Times are in seconds."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Start an attempt; timeout 0 lasts as long as the client waits.

    Attributes:
        id: the request's id.
        server: the backend.
        timeout: time until the host gives the attempt up, s.
    """

    id: int
    backend: Hashable
    timeout: float = 0.0


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer which says that a retry is harmless.

    Attributes:
        id: the request's id.
        retry_after: time that the client is asked to wait, s; 0 is none.
    """

    id: int
    retry_after: float = 0.0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer after which the request may or may not have run."""

    id: int


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stop waiting for an attempt.

    Attributes:
        id: the request's id.
        attempt: number of the attempt, from 0.
    """

    id: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a `TimerExpired` after a delay.

    Attributes:
        delay: time from now, s.
        token: comes back with the event.
    """

    delay: float
    token: int


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Send a health check to a backend."""

    backend: Hashable


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close the idle connections to a backend."""

    backend: Hashable


@dataclass(slots=True, frozen=True)
class SendToPeer:
    """Message to one gateway, or to all others where `peer` is None."""

    peer: int | None
    payload: bytes


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the operators' log."""

    text: str


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Have deltas of the endpoint list sent from now on, or no more."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchEndpoints:
    """Fetch the complete endpoint list once."""


@dataclass(slots=True, frozen=True)
class IncrementCounter:
    """Add to a shared counter and learn its total.

    Attributes:
        name: number of the counter.
        amount: what is added.
        lifetime: time for which the counter keeps its value, s.
    """

    name: int
    amount: float
    lifetime: float


Action = (
    StartAttempt
    | Reject
    | Fail
    | CancelAttempt
    | SetTimer
    | CheckHealth
    | CloseIdleConnections
    | SendToPeer
    | Log
    | WatchEndpoints
    | FetchEndpoints
    | IncrementCounter
)
