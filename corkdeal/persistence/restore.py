"""Returns the records of a stored snapshot to the decisions, each expired by its age at the time of the call.

Without I/O: the snapshot, its age and the decisions' time are passed in. Each record is returned once.
Records that no longer match the settings or the endpoint list are dropped and counted by reason in `counts`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

import msgspec

from ..decisions.events import Endpoint
from ..decisions.peer_messages import SHARE_STEPS
from ..decisions.persisted_state import StoredAccount, StoredBackend, StoredFleet, StoredLatency
from ..decisions.settings import Plan, Settings
from . import expiry
from .codec import Snapshot, decode_account, encode_page_entry, encode_record
from .errors import MalformedRecordError
from .expiry import interpolate

# Message rounds to skip, so that none is used twice: no gateway counts as many in expiry.LEDGER_HORIZON.
ROUND_LEAP = 1 << 17
MAX_ROUND = 1 << 31  # a new incarnation is begun beyond it, well before 32 bits of rounds are used up
UNKNOWN_PACE = 0.5  # with which the decisions start if they have no snapshot
FULL_RETRY_BUDGET = 10.0  # attempts with which the decisions start if they have no snapshot
START_TOLERANCE = 0.0015  # seconds; the endpoint list gives starts in whole milliseconds


class RestoredState:
    """A snapshot as the `PersistedState` that the decisions restore."""

    is_exact = False

    def __init__(
        self,
        snapshot: Snapshot,
        age: float,
        now: float,
        settings: Settings,
        address_of: Callable[[str], str],
        counts: Counter[str],
    ) -> None:
        """`age` is the snapshot's age in seconds, `now` the decisions' time.

        `address_of` returns a backend's current address, empty where it is unknown.
        """
        self.head = snapshot.head
        self.age = age
        self.loaded_at = now
        self.settings = settings
        self.address_of = address_of
        self.counts = counts
        self.class_names = {request_class.name for request_class in settings.classes}
        self.plan_names = {plan.name for plan in settings.plans}
        self.backends = {record.backend: record for record in self.head.servers}
        self.encoded_accounts: dict[int, msgspec.Raw] = {}
        if age < expiry.ACCOUNT_HORIZON:
            self.encoded_accounts = snapshot.encoded_accounts()
        if not self.encoded_accounts and snapshot.accounts:
            self.counts["knowledge_account_too_old"] += sum(map(len, snapshot.accounts))

    def age_of(self, time: float, now: float) -> float:
        """Return how many seconds ago a time of the snapshot's boot clock was."""
        age_when_loaded = self.age + self.head.clock.boot - time
        return max(0.0, age_when_loaded + max(0.0, now - self.loaded_at))

    @property
    def has_expired(self) -> bool:
        """Whether every record has expired."""
        is_within_longest_horizon = self.age < expiry.USUAL_LATENCY.horizon
        return not is_within_longest_horizon

    def may_resume(self) -> bool:
        """Whether ledgers may be resumed: peers may still have their side, and the tier is unchanged."""
        fleet = self.head.fleet
        stored_position = (fleet.gateway_index, fleet.gateway_count)
        position = (self.settings.gateway_index, self.settings.gateway_count)
        return (
            self.age < expiry.LEDGER_HORIZON
            and fleet.incarnation > 0
            and fleet.message_round < MAX_ROUND
            and stored_position == position
        )

    def fleet(self, now: float, default_latencies: dict[str, float]) -> StoredFleet:
        """Return the fleet's record, each value weighted by its age.

        `default_latencies` is the latency in seconds of each class without a usual one.
        """
        stored = self.head.fleet
        age = self.age_of(self.head.clock.boot, now)
        pace_weight = expiry.USUAL_LATENCY.weight(age)
        latency_ratio_weight = expiry.FLEET_LATENCY_RATIO.weight(age)
        retry_weight = expiry.RETRY_BUDGET.weight(age)
        retry_budget = min(stored.retry_budget, FULL_RETRY_BUDGET)
        return stored._replace(
            pace=interpolate(stored.pace, UNKNOWN_PACE, pace_weight),
            latency_ratio=interpolate(stored.latency_ratio, 1.0, latency_ratio_weight),
            retry_budget=interpolate(retry_budget, FULL_RETRY_BUDGET, retry_weight),
            usual_latencies=tuple(self._usual_latencies(now, default_latencies)),
            message_round=stored.message_round + ROUND_LEAP,
        )

    def _usual_latencies(self, now: float, default_latencies: dict[str, float]) -> Iterator[StoredLatency]:
        """Yield the usual latencies of the classes that the settings still have."""
        for record in self.head.fleet.usual_latencies:
            if record.request_class not in default_latencies:
                self.counts["knowledge_class_unknown"] += 1
                continue
            weight = expiry.USUAL_LATENCY.weight(self.age_of(record.recorded_at, now))
            if weight and record.latency > 0:
                seconds = interpolate(record.latency, default_latencies[record.request_class], weight)
                yield StoredLatency(record.request_class, record.size, seconds)

    def backend(self, endpoint: Endpoint, now: float) -> StoredBackend | None:
        """Return the record of an endpoint's backend process; None for another process of the same id.

        An endpoint with an earlier start comes from a list older than the record; the record is then kept.
        """
        name = str(endpoint.backend)
        record = self.backends.get(name)
        if record is None or endpoint.started < record.started - START_TOLERANCE:
            return None
        del self.backends[name]
        if endpoint.started > record.started + START_TOLERANCE:
            self.counts["knowledge_server_restarted"] += 1
            return None
        address = self.address_of(name)
        if record.address and address and address != record.address:
            self.counts["knowledge_server_moved"] += 1
            return None
        expired = expiry.expire_backend(
            self._with_known_classes(record), self.age_of(record.recorded_at, now)
        )
        self.counts["knowledge_server_used" if expired else "knowledge_server_too_old"] += 1
        return expired

    def _with_known_classes(self, record: StoredBackend) -> StoredBackend:
        """Return a record without the rejections of classes that the settings no longer have."""
        known = tuple(
            rejection for rejection in record.rejections if rejection.request_class in self.class_names
        )
        dropped = len(record.rejections) - len(known)
        if dropped:
            self.counts["knowledge_class_unknown"] += dropped
        return record._replace(rejections=known)

    def account(
        self, customer: int, plan: Plan, first_gateway: int, member_count: int, now: float
    ) -> StoredAccount | None:
        """Return the customer's account in the decisions' time, not yet refilled up to now.

        A record of another plan or another set of gateways is dropped.
        """
        encoded = self.encoded_accounts.pop(customer, None)
        if encoded is None:
            return None
        record = self._decoded(encoded)
        if record is None:
            return None
        age = self.age_of(record.refilled_at, now)
        mismatch = self._mismatch_counter(record, plan, (first_gateway, member_count), age)
        self.counts[mismatch or "knowledge_account_used"] += 1
        if mismatch:
            return None
        shift = now - age - record.refilled_at
        level = record.level - self._unrecorded_spending(record, plan)
        return record._replace(
            refilled_at=record.refilled_at + shift,
            last_request_at=min(now, record.last_request_at + shift),
            level=min(level, plan.burst),
            demand=max(0.0, record.demand),
            ledgers=tuple(
                ledger._replace(peer_state_at=ledger.peer_state_at + shift) for ledger in record.ledgers
            ),
        )

    def _decoded(self, encoded: msgspec.Raw) -> StoredAccount | None:
        """Decode one account's record; counts a malformed one and returns None for it."""
        try:
            return decode_account(encoded)
        except MalformedRecordError:
            self.counts["knowledge_account_malformed"] += 1
            return None

    def _mismatch_counter(
        self, record: StoredAccount, plan: Plan, members: tuple[int, int], age: float
    ) -> str:
        """Return the counter of the reason why a record does not match its customer; empty if it does."""
        if record.plan != plan.name:
            if record.plan in self.plan_names:
                return "knowledge_plan_changed"
            return "knowledge_plan_unknown"
        if (record.first_gateway, record.member_count) != members:
            return "knowledge_account_moved"
        if age >= expiry.ACCOUNT_HORIZON:
            return "knowledge_account_too_old"
        return ""

    def _unrecorded_spending(self, record: StoredAccount, plan: Plan) -> float:
        """Return an estimate of the units spent after the snapshot was written."""
        if self.head.is_clean:
            return 0.0
        quota_share = 1.0
        if not record.tree_edges:
            received_share = sum(ledger.received_share for ledger in record.ledgers) / SHARE_STEPS
            quota_share = min(1.0, max(0.0, 1 / record.member_count + received_share))
        idle_time = self.head.clock.boot - record.refilled_at
        return expiry.unrecorded_spending(record, plan.rate, quota_share, idle_time, self.head.write_interval)

    def accounts(self, now: float) -> Iterator[tuple[int, int, StoredAccount]]:
        """Yield the customer, the plan's number and the record of each account that has not expired."""
        plan_numbers = {plan.name: number for number, plan in enumerate(self.settings.plans)}
        for customer, encoded in list(self.encoded_accounts.items()):
            stored = self._decoded(encoded)
            if stored is None:
                continue
            plan_number = plan_numbers.get(stored.plan, 0)
            plan = self.settings.plans[plan_number]
            record = self.account(customer, plan, stored.first_gateway, stored.member_count, now)
            if record is not None:
                yield customer, plan_number, record

    def unlisted_backends(self, now: float, boot: float) -> list[StoredBackend]:
        """Return unexpired records of backends that no list has named yet, in this boot's time."""
        age = self.age_of(self.head.clock.boot, now)
        if self.backends and age >= expiry.BACKEND_LATENCY_RATIO.horizon:
            self.counts["knowledge_server_gone"] += len(self.backends)
            self.backends.clear()
        return [
            record._replace(recorded_at=boot - self.age_of(record.recorded_at, now))
            for record in self.backends.values()
        ]

    def unclaimed_entries(self, now: float, is_same_boot: bool, boot: float) -> dict[int, bytes]:
        """Return the accounts that the decisions have not claimed yet, as page entries for the next snapshot.

        Without these entries a second restart would lose the accounts. Their times are valid within one boot;
        after a reboot the records are encoded again with times of the current boot.
        """
        if now - self.loaded_at + self.age >= expiry.ACCOUNT_HORIZON:
            self.encoded_accounts.clear()
        entries: dict[int, bytes] = {}
        for customer, encoded in self.encoded_accounts.items():
            if is_same_boot:
                entries[customer] = encode_page_entry(customer, encoded)
                continue
            record = self._decoded(encoded)
            if record is not None:
                refilled_at = boot - self.age_of(record.refilled_at, now)
                converted = record._replace(
                    refilled_at=refilled_at, last_request_at=refilled_at, ledgers=(), tree_edges=()
                )
                entries[customer] = encode_page_entry(customer, encode_record(converted))
        return entries
