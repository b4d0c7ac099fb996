"""This gateway's view of the endpoint list: a record of each ready backend, and the preferred subset.

In a large tier each gateway prefers a deterministic subset of the backends. Each backend then receives
requests from a few gateways only, but often enough for these to learn its state. Times are in seconds,
`now` is the clock of the gateway.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field

from .events import Endpoint, EndpointState, EndpointUpdate, UpdateKind

SUBSET_SIZE = 10  # backends that each gateway of a large tier prefers
RECORD_LIFETIME = 1.0  # s without an attempt until a record begins to decay
RECORD_DECAY_TIME = 5.0  # s from then until its weight is 1 / e
LOAD_REPORT_LIFETIME = 2.0  # s until the weight of a load report reaches 0


@dataclass(slots=True, eq=False)
class BackendRecord:
    """State of one backend, from the endpoint list and from this gateway's own attempts."""

    endpoint: Endpoint
    first_seen_at: float = math.inf  # `endpoint.started` is on another clock, which may be ahead
    in_flight: dict[int, tuple[float, float]] = field(default_factory=dict)  # request -> (sent at, load met)
    streaming: dict[int, tuple[float, float]] = field(default_factory=dict)  # the same, while answers stream
    latency_ratio: float = 1.0  # its latency relative to the fleet's at the same load
    failures: int = 0  # failed attempts minus successful ones, at least 0
    last_answer_at: float = 0.0
    last_attempt_at: float = float("-inf")
    ejected_until: float = 0.0
    is_ejected: bool = False  # until successes after its trial offset its failures
    ejection_time: float = 0.0  # s, duration of the last ejection
    peer_load: float = 0.0  # other gateways' requests in flight, by the last load report
    peer_load_at: float = float("-inf")
    slow_start_credit: float = 0.0  # work that may be sent during slow start
    slow_start_credit_at: float | None = None
    rejecting_classes: dict[int, tuple[float, float]] = field(default_factory=dict)  # class -> (s, until)

    def load(self, now: float) -> float:
        """Return the requests in flight: this gateway's, and others' by the load report, weighted by age."""
        return len(self.in_flight) + self.peer_load * max(
            0.0, 1 - (now - self.peer_load_at) / LOAD_REPORT_LIFETIME
        )

    def start_attempt(self, request_id: int, now: float) -> None:
        """Record an attempt and the load it meets; the latency ratio's decay so far becomes permanent."""
        self.latency_ratio = 1 + (self.latency_ratio - 1) * self.freshness(now)
        self.in_flight[request_id] = (now, self.load(now))
        self.last_attempt_at = now

    def start_streaming(self, request_id: int) -> None:
        """Stop counting an attempt as load, since its answer has begun."""
        if request_id in self.in_flight:
            self.streaming[request_id] = self.in_flight.pop(request_id)

    def end_attempt(self, request_id: int, now: float) -> float:
        """Remove an attempt; returns the load it met, or 0 if unknown."""
        attempt = self.in_flight.pop(request_id, None)
        if attempt is None:
            attempt = self.streaming.pop(request_id, (now, 0.0))
        return attempt[1]

    def set_reported_load(self, requests: float, now: float) -> None:
        """Apply a load report; requests beyond this gateway's own belong to other gateways."""
        self.peer_load = max(0.0, requests - len(self.in_flight))
        self.peer_load_at = now

    def freshness(self, now: float) -> float:
        """Return the weight of the record, which decays without attempts.

        The decay ensures that a backend with a bad record is tried again.
        """
        age = max(0.0, now - self.last_attempt_at - RECORD_LIFETIME)
        return math.exp(-age / RECORD_DECAY_TIME)


class Backends:
    """Records of all ready backends by id, and the preferred subset."""

    def __init__(self, gateway_index: int, is_large_tier: bool) -> None:
        self.gateway_index = gateway_index
        self.is_large_tier = is_large_tier
        self.records: dict[Hashable, BackendRecord] = {}
        self.preferred: list[BackendRecord] = []

    def apply(self, update: EndpointUpdate, new_record: Callable[[Endpoint], BackendRecord]) -> None:
        """Apply an endpoint update; a backend that restarted gets a new record."""
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
        """Return all records or, in a large tier, this gateway's subset of them in hash order."""
        records = list(self.records.values())
        if not self.is_large_tier or len(records) <= SUBSET_SIZE:
            return records
        records.sort(key=lambda record: zlib.crc32(repr(record.endpoint.backend).encode()))
        first = self.gateway_index * SUBSET_SIZE
        return [records[(first + i) % len(records)] for i in range(SUBSET_SIZE)]

    def has_non_preferred(self) -> bool:
        """Return whether there are backends outside the preferred subset."""
        return len(self.preferred) < len(self.records)
