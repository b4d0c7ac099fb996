"""The endpoint list as this gateway holds it: one record a ready backend, and the subset that it prefers.

Where many gateways share many backends, each prefers a deterministic subset, so that a backend is reached
often enough by each of a few gateways for these to learn its state. Times are in seconds, `now` is the clock
of the gateway.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field

from .events import Endpoint, EndpointState, EndpointUpdate, UpdateKind

SUBSET_SIZE = 10  # backends that one of many gateways prefers
RECORD_FADE_TIME = 5.0  # s without an attempt in which the weight of a record falls to 1 / e
LOAD_REPORT_LIFETIME = 2.0  # s in which the weight of a load report falls to nothing


@dataclass(slots=True, eq=False)
class BackendRecord:
    """What a gateway knows of one backend, from the endpoint list and from its own attempts."""

    endpoint: Endpoint
    first_seen_at: float = math.inf  # the clock of `endpoint.started` is another's and may be ahead
    in_flight: dict[int, tuple[float, float]] = field(default_factory=dict)  # request -> (sent at, load met)
    streaming: dict[int, tuple[float, float]] = field(default_factory=dict)  # the same, once answered in part
    slowness: float = 1.0  # its latency relative to the fleet's at the same load
    failures: int = 0  # failed attempts less successful ones, at least 0
    last_answer_at: float = 0.0
    last_attempt_at: float = float("-inf")
    ejected_until: float = 0.0
    is_ejected: bool = False  # until a trial, and then until successes have made up for its failures
    ejection_time: float = 0.0  # s, of the last ejection
    peer_load: float = 0.0  # requests in flight of other gateways, by its last load report
    peer_load_at: float = float("-inf")
    slow_start_credit: float = 0.0  # work that it may still be sent while it warms up
    slow_start_credit_at: float | None = None
    rejecting_classes: dict[int, tuple[float, float]] = field(default_factory=dict)  # class -> (s, until)

    def load(self, now: float) -> float:
        """Requests in flight there: this gateway's own, and others' by a load report while that is fresh."""
        return len(self.in_flight) + self.peer_load * max(
            0.0, 1 - (now - self.peer_load_at) / LOAD_REPORT_LIFETIME
        )

    def start_attempt(self, request_id: int, now: float) -> None:
        """Book an attempt and the load it meets; what has faded of the record is gone from here on."""
        self.slowness = 1 + (self.slowness - 1) * self.freshness(now)
        self.in_flight[request_id] = (now, self.load(now))
        self.last_attempt_at = now

    def start_streaming(self, request_id: int) -> None:
        """Count an attempt no longer as load: its answer has begun."""
        if request_id in self.in_flight:
            self.streaming[request_id] = self.in_flight.pop(request_id)

    def end_attempt(self, request_id: int, now: float) -> float:
        """Take an attempt off the record; the load it met, 0 where that is not known."""
        attempt = self.in_flight.pop(request_id, None)
        if attempt is None:
            attempt = self.streaming.pop(request_id, (now, 0.0))
        return attempt[1]

    def set_reported_load(self, requests: float, now: float) -> None:
        """Take a load report: what of its requests are not this gateway's are others'."""
        self.peer_load = max(0.0, requests - len(self.in_flight))
        self.peer_load_at = now

    def freshness(self, now: float) -> float:
        """Weight of the record: it fades without attempts, so a bad spell does not shut a backend out."""
        return math.exp((self.last_attempt_at - now) / RECORD_FADE_TIME)


class Backends:
    """Records of all ready backends by their id, and the list of preferred ones."""

    def __init__(self, gateway_index: int, is_large_tier: bool) -> None:
        self.gateway_index = gateway_index
        self.is_large_tier = is_large_tier
        self.records: dict[Hashable, BackendRecord] = {}
        self.preferred: list[BackendRecord] = []

    def apply(self, update: EndpointUpdate, new_record: Callable[[Endpoint], BackendRecord]) -> None:
        """Follow the endpoint list; a backend that has started again gets a new record."""
        if update.kind in (UpdateKind.COMPLETE, UpdateKind.CACHED):
            listed = {endpoint.backend for endpoint in update.entries}
            self.records = {key: record for key, record in self.records.items() if key in listed}
        for endpoint in update.entries:
            record = self.records.get(endpoint.backend)
            if endpoint.state is not EndpointState.READY:
                self.records.pop(endpoint.backend, None)
            elif record is None or endpoint.started > record.endpoint.started:
                self.records[endpoint.backend] = new_record(endpoint)
            else:
                record.endpoint = endpoint
        self.preferred = self.select_subset()

    def select_subset(self) -> list[BackendRecord]:
        """All records, or this gateway's turn of the backends in the order of their hashes."""
        records = list(self.records.values())
        if not self.is_large_tier or len(records) <= SUBSET_SIZE:
            return records
        records.sort(key=lambda record: zlib.crc32(repr(record.endpoint.backend).encode()))
        first = self.gateway_index * SUBSET_SIZE
        return [records[(first + i) % len(records)] for i in range(SUBSET_SIZE)]

    def has_others(self) -> bool:
        """Whether there are backends beside the preferred ones."""
        return len(self.preferred) < len(self.records)
