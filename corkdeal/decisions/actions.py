"""Actions that the decisions return for the host to carry out. Times are in seconds."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Start an attempt.

    Attributes:
        id: the request's id.
        backend: the backend's id.
        timeout: time after which the host aborts the attempt, s; 0 for as long as the client waits.
    """

    id: int
    backend: Hashable
    timeout: float = 0.0


@dataclass(slots=True, frozen=True)
class Reject:
    """Send the final reply "rejected", after which the client may safely retry.

    Attributes:
        id: the request's id.
        retry_after: time for which the client is asked to wait, s; 0 for none.
    """

    id: int
    retry_after: float = 0.0


@dataclass(slots=True, frozen=True)
class Fail:
    """Send the final reply "failed"; the request may or may not have run."""

    id: int


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel an attempt.

    Attributes:
        id: the request's id.
        attempt: number of the attempt, from 0.
    """

    id: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Request a `TimerExpired` event after a delay.

    Attributes:
        delay: time from now, s.
        token: identifies the timer in the event.
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
    """Send a message to one gateway, or to all others if `peer` is None."""

    peer: int | None
    payload: bytes


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the operators' log."""

    text: str


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Start or stop watching the endpoint list for deltas."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchEndpoints:
    """Fetch the complete endpoint list once."""


@dataclass(slots=True, frozen=True)
class IncrementCounter:
    """Increment a shared counter; the new total arrives as a `CounterResult`.

    Attributes:
        name: number of the counter.
        amount: amount to add.
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
