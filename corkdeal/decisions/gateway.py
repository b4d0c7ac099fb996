"""The decisions of one gateway: timed events in, actions out.

`Gateway` creates the components and dispatches each event to one of them: requests to `request_lifecycle`,
messages of peers to `peer_protocol`, endpoint updates to `backends`. Work that depends on time alone is done
in a periodic scan, for which the gateway keeps one timer.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from .accounts import MAX_EXCHANGE_MEMBERS, Account, AccountTable
from .actions import Action, SetTimer, WatchEndpoints
from .admission import Admission
from .aggregation_tree import AggregationScheduler
from .backend_selection import BackendSelection
from .backends import BackendRecord, Backends
from .events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointUpdate,
    Event,
    PeerMessage,
    Request,
    StreamStarted,
    TimerExpired,
)
from .latency_model import LatencyModel
from .outlier_detection import OutlierDetection
from .peer_messages import AccountUpdate
from .peer_protocol import PeerProtocol
from .quota_exchange import EXCHANGE_INTERVAL, QuotaExchange
from .request_lifecycle import RequestLifecycle
from .retries import Retries
from .settings import Settings
from .slow_start import SlowStartBudget
from .state_transfer import StateTransfer

if TYPE_CHECKING:
    from .extensions import AdmissionRamp, MembershipView, QuotaRestoreView
    from .persisted_state import PersistedState

SCAN_TOKEN = 0  # timer token of the scan
SCAN_INTERVAL = 0.05  # s, if the gateway has ring neighbours
LONG_SCAN_INTERVAL = 0.2  # s, without ring neighbours


class Gateway:
    """The decisions of one gateway; the host supplies the clock and carries out the actions.

    The host may set the optional subsystems `quota_restore`, `membership` and `admission_ramp`; None is off.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = 0.0  # s, time of the events being handled
        self.actions: list[Action] = []
        self.last_poll_at = 0.0  # s, when the endpoint list watch was last renewed
        self.is_scan_scheduled = False
        self.has_started = False
        self.changed_customers: set[int] | None = None  # since the last state capture; None if capture is off
        self.quota_restore: QuotaRestoreView | None = None
        self.membership: MembershipView | None = None
        self.admission_ramp: AdmissionRamp | None = None
        self.is_endpoint_list_stale = False  # no attempt starts while set
        self.quota_fraction = 1.0  # of this gateway's quota; during an upgrade the other process has the rest
        self._create_backend_components()
        self._create_quota_components()
        self.requests = RequestLifecycle(
            settings,
            self,
            self.account_table,
            self.admission,
            self.backends,
            self.backend_selection,
            self.latency_model,
            self.slow_start,
            self.outlier_detection,
            self.retries,
        )
        self.state_transfer = StateTransfer(settings, self.latency_model, self.retries, self.peers)

    def _create_backend_components(self) -> None:
        settings = self.settings
        is_large_tier = settings.gateway_count > MAX_EXCHANGE_MEMBERS
        self.backends = Backends(settings.gateway_index, is_large_tier)
        self.latency_model = LatencyModel(settings.classes, is_large_tier)
        self.slow_start = SlowStartBudget(settings, self.random, self.latency_model.initial_latency)
        self.outlier_detection = OutlierDetection(is_large_tier)
        self.backend_selection = BackendSelection(
            settings,
            self.random,
            self.backends,
            self.latency_model,
            self.slow_start,
            self.outlier_detection,
        )
        self.retries = Retries(settings)

    def _create_quota_components(self) -> None:
        settings = self.settings
        self.account_table = AccountTable(settings)
        self.quota_exchange = QuotaExchange(settings, self.account_table, self)
        self.aggregation_scheduler = AggregationScheduler(settings.gateway_count, settings.peer_message_rate)
        self.admission = Admission(
            self.random,
            self.aggregation_scheduler,
            self.quota_exchange.is_silent,
            self.latency_model.attempt_time,
        )
        self.peers = PeerProtocol(
            settings, self, self.account_table, self.quota_exchange, self.aggregation_scheduler
        )

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Handle the events that occurred at `now`, in seconds, and return the resulting actions."""
        self.now = now
        self.actions = []
        if not self.has_started:
            self._start()
        for event in events:
            self._handle_event(event)
        scheduler = self.aggregation_scheduler
        if now >= scheduler.next_deferred_at:
            scheduler.resume_deferred(now, self.accounts)
        if scheduler.pending:
            self.peers.send_totals(scheduler.due(now, self))
        self._schedule_scan()
        return self.actions

    def restore(self, state: PersistedState) -> None:
        """Restore the persisted state of an earlier process."""
        self.state_transfer.restore_fleet(state, self.now, self.quota_restore)

    def early_rejection(self, now: float, request: Request) -> float | None:
        """Return a Retry-After in seconds if a request can be rejected by its head alone, else None."""
        self.now = now
        return self.requests.early_rejection(request)

    def _start(self) -> None:
        """Start an incarnation, unless an earlier one is resumed, and run the first scan."""
        self.has_started = True
        if not self.incarnation or not self.has_resumed():
            self.peers.incarnations.start(self.now)
        self.scan()

    def _handle_event(self, event: Event) -> None:
        """Dispatch an event; results of actions that the decisions never return are ignored."""
        match event:
            case Request():
                self.requests.handle_request(event)
            case AttemptEnded():
                self.requests.handle_attempt_ended(event)
            case TimerExpired():
                self._handle_timer_expired(event)
            case PeerMessage():
                self.peers.receive(event)
            case EndpointUpdate():
                self.backends.apply(event, self._new_backend)
            case StreamStarted():
                self.requests.handle_stream_started(event)
            case ClientDisconnected():
                self.requests.forget(event.id)

    def _handle_timer_expired(self, event: TimerExpired) -> None:
        """Run the scan, or finish a request whose deadline timer expired."""
        if event.token != SCAN_TOKEN:
            self.requests.expire(event.token)
            return
        self.is_scan_scheduled = False
        self.aggregation_scheduler.resume_deferred(self.now, self.accounts)
        self.scan()
        if self.membership is not None:
            self.membership.step()

    def scan(self) -> None:
        """Do the periodic work: endpoint list, waiting requests, attempts, quota exchange."""
        self._poll_endpoint_list()
        self.requests.dispatch_waiting()
        self.requests.check_attempts()
        is_exchange_due = self.now - self.last_exchange_at >= EXCHANGE_INTERVAL - SCAN_INTERVAL / 2
        if self.ring_neighbours and is_exchange_due:
            self.peers.exchange_quotas()

    def _poll_endpoint_list(self) -> None:
        """Renew the watch if the endpoint list is not pushed, which also replaces a broken watch."""
        if self.settings.is_endpoint_list_pushed:
            return
        if self.now - self.last_poll_at >= self.settings.poll_interval / 4:
            self.last_poll_at = self.now
            self.actions.append(WatchEndpoints(True))

    def _schedule_scan(self) -> None:
        """Set the scan timer if a scan is needed and the timer is not set."""
        if self.is_scan_scheduled:
            return
        delay = self._next_scan_delay()
        if delay is not None:
            self.is_scan_scheduled = True
            self.actions.append(SetTimer(delay, SCAN_TOKEN))

    def _next_scan_delay(self) -> float | None:
        """Return the delay of the next scan in s, or None if no scan is needed.

        An idle gateway sets no timer, because in a tier of hundreds of gateways most are idle.
        """
        if self.ring_neighbours:
            return SCAN_INTERVAL
        if (
            self.requests.waiting
            or self.requests.attempts_in_flight
            or self.membership is not None
            or not self.settings.is_endpoint_list_pushed
        ):
            return LONG_SCAN_INTERVAL
        deferred_until = self.aggregation_scheduler.deferred_until
        if deferred_until:
            return max(SCAN_INTERVAL, min(deferred_until.values()) - self.now)
        return None

    def _new_backend(self, endpoint: Endpoint) -> BackendRecord:
        """Return a record for a newly listed backend, with any restored state applied."""
        record = BackendRecord(endpoint, first_seen_at=self.now)
        self.state_transfer.restore_backend(record, self.now)
        return record

    # Used by the components and the optional subsystems.

    def account(self, customer: int, plan: int, first_gateway: int, member_count: int) -> Account:
        """Return the customer's account, created if missing with an even share or its restored state."""
        if customer not in self.account_table.by_customer:
            account = self.account_table.create(customer, plan, first_gateway, member_count, self.now)
            self.state_transfer.restore_account(customer, account, self.now, self.quota_restore)
            if self.quota_restore is not None:
                self.quota_restore.query_totals(account)
        if self.changed_customers is not None:
            self.changed_customers.add(customer)
        return self.account_table.touch(customer)

    def has_room_for(self, customer: int) -> bool:
        """Return whether the customer has an account, or may get one within the limit on accounts."""
        return customer in self.account_table.by_customer or self.account_table.make_room(self.now)

    def limit_accounts(self, count: int) -> None:
        """Set how many accounts may be kept; requests of further customers are rejected."""
        self.account_table.max_accounts = count

    def is_timer_pending(self, token: int) -> bool:
        """Return whether the expiry of a timer still has an effect."""
        return token == SCAN_TOKEN or self.requests.deadline_timers.is_pending(token)

    def quota_share(self, account: Account) -> float:
        """Return the fraction of the quota that may be spent here, including borrowed shares."""
        if self.membership is not None:
            return self.membership.quota_share(account)
        return self.quota_exchange.share_with_loan(account, self.now)

    def refill(self, account: Account) -> float:
        """Advance bucket, hard limit and demand to the present time; returns the quota share."""
        quota_share = 1.0 if account.is_aggregated else self.quota_share(account)
        share = self.quota_fraction * quota_share
        may_shrink = self.membership is None or self.membership.is_share_exclusive(account)
        account.refill(self.now, share, may_shrink, self.quota_fraction)
        return share

    def rate(self, account: Account) -> float:
        """Return the rate at which the account may spend, in units/s."""
        return self.admission.rate(account)

    def may_start_attempt(self) -> bool:
        """Return whether the admission ramp, if any, admits one more attempt, which is then counted."""
        ramp = self.admission_ramp
        return ramp is None or ramp.try_admit(self.now, len(self.requests.attempts_in_flight))

    def has_resumed(self) -> bool:
        """Return whether this gateway resumes an earlier incarnation together with its ledgers."""
        return self.state_transfer.has_resumed(self.quota_restore)

    def is_silent(self, peer: int) -> bool:
        """Return whether nothing was received from a peer for several exchange intervals."""
        return self.quota_exchange.is_silent(peer, self.now)

    def predates_start(self, incarnation: int) -> bool:
        """Return whether a peer started before this gateway, and so counted units spent earlier."""
        return self.peers.incarnations.predates_start(incarnation)

    def send_updates(self, peer: int, updates: list[AccountUpdate]) -> None:
        """Send account updates to a peer, or an empty message if there are none."""
        self.peers.send_updates(peer, updates)

    @property
    def accounts(self) -> dict[int, Account]:
        """Accounts by customer."""
        return self.account_table.by_customer

    @property
    def active_accounts(self) -> dict[int, Account]:
        """Accounts that take part in the quota exchange, by customer."""
        return self.account_table.active

    @property
    def ring_neighbours(self) -> set[int]:
        """Ring neighbours of all accounts."""
        return self.account_table.ring_neighbours

    @property
    def peer_last_received_at(self) -> dict[int, float]:
        """Time at which the last message of each peer was received, in seconds."""
        return self.quota_exchange.peer_last_received_at

    @property
    def last_exchange_at(self) -> float:
        """Time of the last exchange with ring neighbours, in seconds."""
        return self.quota_exchange.last_exchange_at

    @last_exchange_at.setter
    def last_exchange_at(self, time: float) -> None:
        self.quota_exchange.last_exchange_at = time

    @property
    def incarnation(self) -> int:
        """This gateway's own incarnation in ms; 0 until the first event."""
        return self.peers.incarnations.own

    @property
    def peer_incarnations(self) -> dict[int, int]:
        """Latest known incarnation of each peer, in ms."""
        return self.peers.incarnations.peers
