"""The endpoint list with the operators' overrides applied, as given to the decisions and the pool.

A backend held out by an operator is reported as draining, whatever the list says, and one returned to service
as just started.
"""

from __future__ import annotations

from collections.abc import Callable

from ..decisions.events import Endpoint, EndpointState, EndpointUpdate, Event, UpdateKind
from .backend_connection import BackendPool
from .discovery_snapshot import DiscoverySnapshot
from .manual_overrides import ManualOverrides


class EndpointList:
    """The current endpoint list.

    `queue_event` adds an event to the decisions' next batch, and `process_events` hands that batch to them.
    An update is added before the pool ends any attempt, so it comes first in its batch and no retry goes to a
    draining backend.
    """

    def __init__(
        self,
        pool: BackendPool,
        overrides: ManualOverrides | None,
        queue_event: Callable[[Event], None],
        process_events: Callable[[], None],
    ) -> None:
        self.pool, self.overrides, self.queue_event, self.process_events = (
            pool,
            overrides,
            queue_event,
            process_events,
        )
        self.listed: dict[str, Endpoint] = {}
        self.addresses: dict[str, tuple[str, int]] = {}
        self.revision = 0

    def apply(self, result: DiscoverySnapshot, kind: UpdateKind) -> None:
        """Apply an endpoint list or delta from discovery."""
        if kind is not UpdateKind.DELTA:
            self.listed, self.addresses = {}, {}
        for entry in result.entries:
            if entry.state is EndpointState.GONE:
                self.listed.pop(entry.backend, None)
                self.addresses.pop(entry.backend, None)
            else:
                self.listed[entry.backend] = entry
                self.addresses[entry.backend] = result.addresses[entry.backend]
        self.revision = result.revision
        entries = self.overrides.apply_all(result.entries) if self.overrides else result.entries
        self.queue_event(EndpointUpdate(kind, entries, result.revision))
        for entry in entries:
            self.pool.update_endpoint(
                entry.backend,
                entry.state is EndpointState.READY,
                result.addresses[entry.backend],
                entry.started,
            )
        if kind is UpdateKind.COMPLETE:
            for backend in self.pool.addresses.keys() - result.addresses.keys():
                self.pool.update_endpoint(backend, False, self.pool.addresses[backend])
        self.process_events()

    def update_override(self, backend: str) -> None:
        """Report one listed backend again after its override changed."""
        if backend not in self.listed or self.overrides is None:
            return
        entry = self.overrides.apply(self.listed[backend])
        self.queue_event(EndpointUpdate(UpdateKind.DELTA, (entry,), self.revision))
        is_ready = entry.state is EndpointState.READY
        self.pool.update_endpoint(backend, is_ready, self.addresses[backend], entry.started)
        self.process_events()

    def is_known(self, backend: str) -> bool:
        """Whether the id is known: it is in the endpoint list, or held out."""
        return backend in self.listed or (self.overrides is not None and backend in self.overrides.held_out)

    def count_listed(self) -> tuple[int, int]:
        """How many backends are listed, and how many of those are not ready or held out by an operator."""
        held_out = self.overrides.held_out if self.overrides else set()
        down = sum(
            1 for e in self.listed.values() if e.state is not EndpointState.READY or e.backend in held_out
        )
        return len(self.listed), down
