"""Turns socket events into events of the decision module and carries out its actions on the sockets."""

from __future__ import annotations

import dataclasses
import math
import random
import time
import traceback
from typing import TYPE_CHECKING, Any

from twisted.internet.error import CannotListenError

from .. import logs
from ..decisions.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    Fail,
    FetchEndpoints,
    IncrementCounter,
    Log,
    Reject,
    SendToPeer,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from ..decisions.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterResult,
    EndpointUpdate,
    Event,
    HealthCheckResult,
    PeerMessage,
    Request,
    Status,
    StreamStarted,
    TimerExpired,
    UpdateKind,
)
from ..decisions.gateway import Gateway as Decisions
from ..decisions.retries import NEVER_RAN
from ..decisions.settings import Effect
from . import client_connection, client_port, invariants, process_memory
from .backend_connection import Attempt, BackendPool, Reply
from .budget import (
    ACCOUNT_MEMORY,
    ID_MEMORY,
    Budget,
    budget_for,
    max_accounts,
    max_kept_ids,
)
from .config import Config, ConfigError, format_address, load_config
from .descriptors import Descriptors
from .discovery_snapshot import DiscoverySnapshot
from .discovery_watch import DiscoveryWatch
from .endpoint_list import EndpointList
from .invariants import count, holds
from .loop_lateness import LoopLateness
from .manual_overrides import ManualOverrides
from .memory_log import MemoryLog
from .operators import Operators
from .parsing_queue import ParsingQueue
from .peering import Peering
from .request_ids import RequestIds
from .resp import encode_command, parse_load_report
from .response_stream import ResponseStream
from .rpc import RPC, CommandParser
from .shutdown import GracefulShutdown
from .timers import Timers

if TYPE_CHECKING:
    from .membership import MembershipService
    from .recovery import RecoveryService
    from .upgrade import UpgradeHandover

FIRST_LIST_TIMEOUT = 0.25  # s that a start waits for discovery's first list before it accepts clients
HEALTH_CHECK_TIMEOUT = 0.25  # s
SWEEP_INTERVAL = 0.1  # s between sweeps of expired connections, and between attempts to listen
REPORT_INTERVAL = 10.0  # s between log lines with the counters
FAILURE_REPLY = b"-ERR failed\r\n"
# Not reported as pending after a reload: `discovery` is applied at once, the others matter to a start only.
NOT_PENDING_AFTER_RELOAD = ("discovery", "known", "seed")


@dataclasses.dataclass(slots=True, eq=False)
class NameMemory:
    """The memory of records for names that clients choose, accounts and ids; a holder of the budget."""

    held_bytes: int = 0


class Gateway:
    """One gateway: connects the decision module to client connections, backend connections and peers."""

    def __init__(self, reactor: Any, config: Config) -> None:
        self.reactor, self.config, self.settings = reactor, config, config.settings
        self.clock_offset = time.time() - time.monotonic()  # wall time at the start; later steps don't matter
        self.decisions = Decisions(self.settings, config.seed)
        self.decisions.limit_accounts(max_accounts(config.memory))
        self.request_ids = RequestIds(self.now, max_kept_ids(config.memory))
        self.command_parser = CommandParser(self.settings, self.request_ids)
        self.client_connections: set[client_connection.ClientConnection] = set()
        self.lateness = LoopLateness()
        self.parsing_queue = ParsingQueue(reactor, self.now)
        self.budget = Budget(budget_for(config.memory))
        self.name_memory = NameMemory()
        self.memory_log = MemoryLog(
            self.budget,
            self.now,
            lambda: self.name_memory.held_bytes,
            lambda: self.pool.buffered_bytes(),
            process_memory.measure,
        )
        self.descriptors = Descriptors(config.sockets, self.client_connections, self.now)
        self.pool = BackendPool(
            reactor,
            self.settings,
            config.sockets // 2,
            self.now,
            self.attempt_ended,
            self.descriptors.admit_backend_connection,
            self.response_started,
            self.may_start,
            self.budget,
        )
        self.descriptors.pool = self.pool
        self.peering = Peering(
            self.settings.gateway_index, config.peers, config.peers_all, self.peer_message_received
        )
        self.watch = self.make_watch(config.discovery, config.known)
        self.report_names = {f: f for f in self.settings.report_fields}
        self.rpcs: dict[int, RPC] = {}  # accepted and not yet answered, by request id
        self.attempts_in_flight: dict[tuple[int, int], Attempt] = {}  # by request id and attempt number
        self.queued_events: list[Event] = []  # not yet handed to the decisions
        self.is_processing = False  # whether `process_events` is running
        self.timers = Timers(reactor, self.now, self.timers_expired, self.decisions.is_timer_pending)
        self.port: Any = None
        self.listen_retry: Any = None  # the delayed call that retries listening
        self.has_started = self.is_serving = False
        self.shutdown = GracefulShutdown(self)
        self.peer_port: Any = None
        self.peering_stopped = False  # whether the successor now communicates with the peers
        self.recovery: RecoveryService | None = None  # handles starts and stalls, if enabled
        self.membership: MembershipService | None = None  # tracks the tier's running gateways, if enabled
        self.upgrade_handover: UpgradeHandover | None = None  # only if the listening socket is inherited
        self.logged_counters = ""
        self.logged_rejections = 0
        self.ops_port: Any = None
        overrides = ManualOverrides(config.name) if config.ops else None
        if overrides:
            overrides.load()
        self.endpoint_list = EndpointList(
            self.pool, overrides, lambda event: self.queued_events.append(event), self.process_events
        )
        self.operators = Operators(self, self.endpoint_list)
        self.counters = self.operators.counters
        self.action_handlers = {
            StartAttempt: self.start_attempt,
            Reject: self.reject,
            Fail: self.fail,
            CancelAttempt: self.cancel_attempt,
            SetTimer: self.set_timer,
            CheckHealth: self.check_health,
            CloseIdleConnections: self.close_idle,
            SendToPeer: self.send_to_peer,
            Log: self.write_log,
            WatchEndpoints: self.watch_endpoints,
            FetchEndpoints: self.fetch_endpoints,
            IncrementCounter: self.increment_counter,
        }

    def now(self) -> float:
        """The clock of the decisions: wall time at the start plus monotonic time since."""
        return self.clock_offset + time.monotonic()

    # Start and reload

    def start(self) -> None:
        """Start with the configured endpoint list; accept clients after discovery's answer or a timeout."""
        self.has_started = True
        known = self.config.known
        if self.recovery is not None:
            self.recovery.limit_start(len(known.entries) if known else 0)
        if known:
            self.endpoint_list.apply(known, UpdateKind.CACHED)
        else:
            self.handle_event(EndpointUpdate(UpdateKind.CACHED))
        self.listen_for_operators()
        self.listen_for_peers()
        self.watch.run()
        self.reactor.callLater(FIRST_LIST_TIMEOUT, self.accept_clients)
        self.schedule_sweep()
        self.reactor.callLater(REPORT_INTERVAL, self.log_counters)

    def listen_for_operators(self) -> None:
        """Open the operations address, if configured; while it is in use, retry without delaying clients."""
        if not self.config.ops or self.shutdown.is_ending:
            return
        from . import ops

        try:
            self.ops_port = ops.listen(self.reactor, self.config.ops, self.operators)
        except CannotListenError as error:
            self.address_in_use("ops_port_taken", self.config.ops, error)
            self.reactor.callLater(SWEEP_INTERVAL, self.listen_for_operators)

    def address_in_use(self, counter: str, address: tuple[str, int], error: CannotListenError) -> None:
        """Count an address that another process uses; it is logged the first time, and callers retry."""
        if not invariants.counts[counter]:
            logs.event("listen_failed", at=format_address(address), error=str(error.socketError))
        count(counter)

    def listen_for_peers(self) -> None:
        """Listen for the peers' datagrams. During an upgrade, the predecessor has the port until it ends."""
        is_awaiting_remainder = (
            self.upgrade_handover is not None and self.upgrade_handover.is_awaiting_remainder
        )
        if not self.config.peer_listen or self.peering_stopped or is_awaiting_remainder:
            return
        host, port = self.config.peer_listen
        try:
            self.peer_port = self.reactor.listenUDP(port, self.peering, interface=host, maxPacketSize=1024)
        except CannotListenError as error:
            self.address_in_use("peer_port_taken", self.config.peer_listen, error)
            self.reactor.callLater(SWEEP_INTERVAL, self.listen_for_peers)

    def stop_peering(self) -> None:
        """Stop communicating with peers for good: the successor does from now on."""
        self.peering_stopped = True
        if self.peer_port is not None:
            port, self.peer_port = self.peer_port, None
            port.stopListening()

    def accept_clients(self) -> None:
        """Accept clients; from here on PING is answered. An inherited listening socket is used as it is.

        An address in use is retried until it is free, since the process that has it may be shutting down.
        """
        if not self.is_serving and not self.shutdown.is_draining:
            clients = client_connection.ClientConnectionFactory(self)
            try:
                if self.config.inherited is not None:
                    self.port = client_port.listen_on_inherited(self.reactor, self.config.inherited, clients)
                else:
                    self.port = client_port.listen(self.reactor, self.config.listen, clients)
            except CannotListenError as error:
                self.address_in_use("listen_failed", self.config.listen, error)
                self.listen_retry = self.listen_retry or self.reactor.callLater(
                    SWEEP_INTERVAL, self.retry_accept_clients
                )
                return
            self.is_serving = True
            logs.event(
                "serving",
                name=self.config.name,
                at=format_address(self.config.listen),
                inherited=self.config.inherited is not None,
            )

    def retry_accept_clients(self) -> None:
        """Retry listening."""
        self.listen_retry = None
        self.accept_clients()

    def make_watch(self, address: tuple[str, int], held: DiscoverySnapshot | None = None) -> DiscoveryWatch:
        """Create a watch of the discovery service; without a `held` list it fetches a complete one first."""
        return DiscoveryWatch(
            self.reactor,
            address,
            self.settings,
            self.endpoints_received,
            held,
            random.Random(self.config.seed),
        )

    def restart_watch(self) -> None:
        """Restart the watch, beginning with the complete list."""
        self.watch.stop()
        if self.has_started:
            self.watch = self.make_watch(self.config.discovery)
            self.watch.run()
        else:  # `start` has not been called yet, and will run it
            self.watch = self.make_watch(self.config.discovery, self.config.known)

    def reload(self) -> None:
        """Reload the configuration (SIGHUP). If it is valid, restart the watch; requests are not affected."""
        if self.shutdown.is_ending:
            return  # the watch has been stopped for good
        try:
            new_config = load_config()
        except ConfigError as error:
            count("reload_refused")
            self.counters["reconfig_failed"] += 1
            return logs.event("reload_refused", error=str(error))
        self.counters["reconfig_ok"] += 1
        pending = [
            f.name
            for f in dataclasses.fields(new_config)
            if f.name not in NOT_PENDING_AFTER_RELOAD
            and getattr(new_config, f.name) != getattr(self.config, f.name)
        ]
        self.config = dataclasses.replace(self.config, discovery=new_config.discovery)
        self.restart_watch()
        logs.event(
            "reloaded", discovery=format_address(new_config.discovery), at_next_start=",".join(pending)
        )

    def abandon(self, rpc: RPC) -> None:
        """End an RPC in whatever state it is, with exactly one final answer."""
        rpc.has_client_left = True
        self.handle_event(ClientDisconnected(rpc.request.id))
        if rpc.attempt is None:
            self.end_between_attempts(rpc)
        else:
            self.pool.abandon(
                rpc.attempt, Status.CANCELLED if rpc.attempt.is_fully_written else Status.ABANDONED
            )

    def end_between_attempts(self, rpc: RPC) -> None:
        """Reject an RPC that has no attempt in flight, or fail it if a repeat of it could run twice."""
        if rpc.first_run_at is None or self.effect_of(rpc) is Effect.IDEMPOTENT:
            self.reject(Reject(rpc.request.id, 0.0))
        else:
            self.fail(Fail(rpc.request.id))

    def effect_of(self, rpc: RPC) -> Effect:
        """Return what a repeat of a request may do, by its class."""
        return self.settings.classes[rpc.request.request_class].effect

    def schedule_sweep(self) -> None:
        """Schedule the next sweep."""
        self.reactor.callLater(SWEEP_INTERVAL, self.sweep, self.now() + SWEEP_INTERVAL)

    def sweep(self, due: float) -> None:
        """Close expired connections, and apply manual overrides that were made at another process."""
        self.lateness.record_firing(due, self.now(), time.process_time())
        self.schedule_sweep()  # first, so that an exception below does not end the sweeps
        self.operators.sync_overrides()
        self.pool.sweep()
        self.descriptors.sweep()
        self.update_name_memory()
        self.memory_log.update()

    def log_counters(self) -> None:
        """Log the counters and the rejections by cause, if they changed."""
        if (line := invariants.report()) != self.logged_counters:
            self.logged_counters = line
            logs.event("counts", **dict(sorted(invariants.counts.items())))
        if (total := self.decisions.requests.rejection_counts.total()) != self.logged_rejections:
            self.logged_rejections = total
            logs.event("refused", **dict(sorted(self.decisions.requests.rejection_counts.items())))
        self.reactor.callLater(REPORT_INTERVAL, self.log_counters)

    # Events

    def handle_event(self, event: Event) -> None:
        """Queue an event and hand it to the decisions; events caused by actions go into the next batch."""
        self.queued_events.append(event)
        if not self.is_processing:
            self.process_events()

    def process_events(self) -> None:
        """Hand queued events to the decisions and carry out the returned actions until the queue is empty."""
        if self.recovery is not None:
            self.recovery.check_stall(self.now())
        self.is_processing = True
        try:
            while self.queued_events:
                events, self.queued_events = self.queued_events, []
                try:
                    actions = self.decisions.handle(self.now(), events)
                except Exception:  # only the RPCs of these events fail
                    count("module_failed")
                    logs.event("decisions_failed", events=events, trace=traceback.format_exc())
                    actions = self.decisions.actions + self.failures_for(events)
                for action in actions:
                    try:
                        self.action_handlers[type(action)](action)
                    except Exception:
                        count("action_failed")
                        logs.event("action_failed", action=action, trace=traceback.format_exc())
                        if (rpc := self.rpcs.get(getattr(action, "id", -1))) is not None and not rpc.attempt:
                            self.fail(Fail(rpc.request.id))
        finally:
            self.is_processing = False
            self.update_name_memory()
        self.timers.arm()

    def update_name_memory(self) -> None:
        """Report the customers' accounts and the ids that are kept to the memory budget."""
        size = len(self.decisions.accounts) * ACCOUNT_MEMORY + len(self.request_ids.kept_until) * ID_MEMORY
        if size != self.name_memory.held_bytes:
            self.budget.set_held(self.name_memory, size)

    def failures_for(self, events: list[Event]) -> list[Action]:
        """Failures for the RPCs of these events, except those for which an attempt was just started."""
        started_ids = {a.id for a in self.decisions.actions if isinstance(a, StartAttempt)}
        ids = {e.id for e in events if isinstance(e, Request | AttemptEnded)} - started_ids
        return [Fail(i) for i in sorted(ids) if i in self.rpcs and not self.rpcs[i].attempt]

    def accept_rpc(self, rpc: RPC) -> None:
        """Accept an RPC that was received completely; it is rejected at once if its deadline has passed."""
        self.rpcs[rpc.request.id] = rpc
        if self.shutdown.is_draining and rpc.deadline > self.shutdown.answer_deadline:
            rpc.deadline = self.shutdown.answer_deadline
            rpc.request = dataclasses.replace(
                rpc.request, timeout=max(0.0, self.shutdown.answer_deadline - self.now())
            )
        if rpc.request.timeout <= 0:
            count("request_too_old")
            return self.reject(Reject(rpc.request.id, 0.0))
        self.handle_event(rpc.request)

    def reject_early(self, rpc: RPC, retry_after: float) -> bytes:
        """Reject an RPC before it is handed to the decisions; returns the encoded answer."""
        rpc.done = True
        self.request_ids.release(rpc.id)
        self.counters["busy"] += 1
        return self.encode_rejection(min(retry_after, self.settings.max_retry_after))

    def early_retry_after(self, request: Request) -> float | None:
        """Seconds to wait before a retry if a command can be rejected by its head alone, else None."""
        try:
            return self.decisions.early_rejection(self.now(), request)
        except Exception:
            count("module_failed")
            logs.event("decisions_failed", events=[request], trace=traceback.format_exc())
            return None

    def client_disconnected(self, rpc: RPC) -> None:
        """The client has disconnected: an attempt that is not written completely is given up."""
        if self.close_rpc(rpc.request.id) is not None:
            self.handle_event(ClientDisconnected(rpc.request.id))
            if rpc.attempt is not None and not rpc.attempt.is_fully_written:
                self.pool.abandon(rpc.attempt, Status.ABANDONED)

    def client_half_closed(self, rpc: RPC) -> None:
        """The client has closed its sending side; it may have disconnected, so no further attempt is started.

        If it has only half-closed the connection, it still reads and gets its one final answer: an attempt
        that was written completely goes on and provides it; otherwise the RPC is abandoned.
        """
        if rpc.attempt is None or not rpc.attempt.is_fully_written:
            return self.abandon(rpc)
        rpc.has_client_left = True
        self.handle_event(ClientDisconnected(rpc.request.id))

    def end_unstarted(self, rpc: RPC) -> None:
        """End an RPC whose attempt can't begin any more because the client has left."""
        count("attempt_not_begun")
        if rpc.client_connection.is_reset:
            self.client_disconnected(rpc)
        else:
            self.client_half_closed(rpc)

    def may_start(self, attempt: Attempt) -> bool:
        """Whether an attempt may be written on its newly opened connection; if not, it is given up."""
        rpc = attempt.rpc
        if rpc is None:
            return True
        if rpc.done:  # answered meanwhile, and the settings forbid the decisions to cancel attempts
            self.pool.abandon(attempt, Status.ABANDONED)
            return False
        if rpc.client_connection.may_start_attempt(self.now()):
            return True
        self.end_unstarted(rpc)
        return False

    def attempt_ended(self, attempt: Attempt, reply: Reply) -> None:
        """An attempt ended: send a value to the client, then notify the decisions."""
        if self.recovery is not None:
            self.recovery.check_stall(self.now())
        elapsed, rpc = attempt.first_byte_latency, attempt.rpc
        if elapsed is None:
            elapsed = max(0.0, self.now() - attempt.sent_at)
        report = parse_load_report(reply.report, self.report_names) if reply.report else {}
        if rpc is None:
            return self.handle_event(HealthCheckResult(attempt.backend, reply.status, elapsed, report))
        rid = rpc.request.id
        self.log_attempt(attempt, reply, elapsed)
        self.attempts_in_flight.pop((rid, attempt.number), None)
        rpc.attempt = None
        if rpc.first_run_at is None and reply.status not in NEVER_RAN:
            rpc.first_run_at = attempt.decided_at
        self.release_id(rpc)
        rpc.release()
        if reply.status is Status.OK and not rpc.done:
            self.counters["success"] += 1
            self.answer(rid, [reply.value])
        elif rpc.has_client_left:  # the decisions have dropped it
            has_never_run = rpc.attempts == 1 and reply.status in NEVER_RAN
            self.reject(Reject(rid, 0.0)) if has_never_run else self.fail(Fail(rid))
        if self.decisions.admission_ramp is not None:
            self.decisions.admission_ramp.record_outcome(reply.status is Status.OK)
        self.handle_event(
            AttemptEnded(rid, attempt.number, attempt.backend, reply.status, elapsed, rpc.done, report=report)
        )

    def log_attempt(self, attempt: Attempt, reply: Reply, elapsed: float) -> None:
        """Count a retry by what failed before it, and log how an attempt ended."""
        if attempt.number > 0:
            count(f"retry_{reply.status.name.lower()}")
        if logs.is_enabled("attempt_ended"):
            logs.event(
                "attempt_ended",
                id=f"{attempt.rpc.id:016x}",
                attempt=attempt.number,
                server=attempt.backend,
                status=reply.status.name.lower(),
                after=round(elapsed, 4),
            )

    def response_started(self, attempt: Attempt, response_stream: ResponseStream) -> bool:
        """A long answer has begun; returns whether the RPC is still open.

        The decisions get the time until now, because the rest depends on how fast the client reads.
        """
        rpc = attempt.rpc
        if rpc.request.id not in self.rpcs:
            return False
        rpc.response_stream = response_stream
        attempt.first_byte_latency = max(0.0, self.now() - attempt.sent_at)
        self.handle_event(
            StreamStarted(rpc.request.id, attempt.number, attempt.backend, attempt.first_byte_latency)
        )
        return True

    def response_released(self, rpc: RPC) -> None:
        """A long answer is being written to its client, which makes its attempt final."""
        if self.close_rpc(rpc.request.id) is not None:
            self.counters["success"] += 1

    def peer_message_received(self, peer: int, payload: bytes) -> None:
        """Handle a peer's datagram; one that may have arrived during a stall is dropped as outdated."""
        self.counters["heard"] += 1
        if self.decisions.is_endpoint_list_stale:
            return count("datagram_old")
        self.handle_event(PeerMessage(peer, payload))

    def endpoints_received(self, result: DiscoverySnapshot) -> None:
        """Apply an endpoint list or delta from discovery, and accept clients."""
        if self.recovery is not None:
            self.recovery.record_discovery_reply()
            self.recovery.limit_start(len(result.entries))
        self.endpoint_list.apply(result, UpdateKind.COMPLETE if result.complete else UpdateKind.DELTA)
        self.accept_clients()

    def add_timer(self, due: float, target: int | Attempt) -> None:
        """Set a timer that returns a token to the decisions, or ends an attempt, at `due`."""
        self.timers.add(due, target)
        if not self.is_processing:
            self.timers.arm()

    def timers_expired(self, tokens: list[int], expired: list[Attempt]) -> None:
        """Timers expired: hand the decisions' tokens over in one batch, then time attempts out."""
        self.queued_events += [TimerExpired(token) for token in tokens]
        self.process_events()
        for attempt in expired:
            if attempt.first_byte_latency is None:
                self.pool.abandon(attempt, Status.TIMEOUT)
            elif attempt.rpc is not None and attempt.rpc.response_stream is not None:
                attempt.rpc.response_stream.handle_deadline()  # an answer that has begun may take longer

    # Actions

    def answer(self, rid: int, reply: list[Any]) -> None:
        """Send an RPC's one final answer, unless it has one or its client has disconnected."""
        if (rpc := self.close_rpc(rid)) is not None:
            if logs.is_enabled("request_answered"):
                line = bytes(reply[0][:20]).partition(b"\r\n")[0].decode("latin-1")
                logs.event("request_answered", id=f"{rpc.id:016x}", attempts=rpc.attempts, line=line)
            rpc.client_connection.set_reply(rpc, reply)

    def close_rpc(self, rid: int) -> RPC | None:
        """Remove an RPC from the open ones, for its final answer; None if it is not open."""
        if (rpc := self.rpcs.pop(rid, None)) is not None:
            rpc.done = True
            self.release_id(rpc)
            rpc.release()
        return rpc

    def release_id(self, rpc: RPC) -> None:
        """Close the id of an RPC that has its answer or needs none, once no attempt of it is in flight."""
        if not rpc.done or rpc.attempt is not None:
            return
        may_have_run = rpc.first_run_at is not None
        self.request_ids.release(rpc.id, may_have_run and self.effect_of(rpc) is not Effect.IDEMPOTENT)

    def start_attempt(self, action: StartAttempt) -> None:
        """Start an attempt; it ends at the client's deadline at the latest."""
        rpc, now = self.rpcs.get(action.id), self.now()
        if rpc is None or not holds(rpc.attempt is None, "two_attempts_at_once"):
            number = rpc.attempts if rpc else 0
            return self.handle_event(
                AttemptEnded(action.id, number, action.backend, Status.ABANDONED, 0.0, rpc is None)
            )
        if not rpc.client_connection.may_start_attempt(now):
            self.end_unstarted(rpc)
            return self.handle_event(
                AttemptEnded(action.id, rpc.attempts, action.backend, Status.ABANDONED, 0.0, True)
            )
        until = min(rpc.deadline, now + action.timeout) if action.timeout > 0 else rpc.deadline
        attempt = Attempt(rpc, rpc.attempts, action.backend, now, until, [])
        attempt.decided_at, attempt.write_by = now, self.deduplication_end(rpc)
        self.attempts_in_flight[action.id, attempt.number] = rpc.attempt = attempt
        rpc.attempts += 1
        self.counters["backend_calls"] += 1
        self.add_timer(until, attempt)
        self.pool.send(attempt)
        self.pool.schedule_write_deadline(attempt)

    def deduplication_end(self, rpc: RPC) -> float:
        """End of the deduplication window of an RPC that may have run; infinite if there is none.

        A retry must be written by then, for the backend would run it again later. The decisions start no
        attempt after it, but the connection may come up, or accept the last byte, later.
        """
        request_class = self.settings.classes[rpc.request.request_class]
        if request_class.effect is not Effect.IDEMPOTENCY_KEY or rpc.first_run_at is None:
            return math.inf
        return rpc.first_run_at + request_class.deduplication_window

    def reject(self, action: Reject) -> None:
        """Reject a request, with a retry-after time where the settings allow one."""
        self.counters["busy"] += action.id in self.rpcs
        self.answer(action.id, [self.encode_rejection(action.retry_after)])

    def encode_rejection(self, retry_after: float) -> bytes:
        """Encode a rejection; `retry_after` is in s, and 0 stands for none."""
        retry_after_ms = math.ceil(retry_after * 1000) if self.settings.may_send_retry_after else 0
        return b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms > 0 else b"-BUSY\r\n"

    def fail(self, action: Fail) -> None:
        """Answer that a request failed; it may or may not have run."""
        self.counters["failure"] += action.id in self.rpcs
        self.answer(action.id, [FAILURE_REPLY])

    def cancel_attempt(self, action: CancelAttempt) -> None:
        """Cancel an attempt."""
        if (attempt := self.attempts_in_flight.get((action.id, action.attempt))) is not None:
            self.pool.abandon(attempt, Status.CANCELLED)

    def set_timer(self, action: SetTimer) -> None:
        """Set a timer of the decisions."""
        self.add_timer(self.now() + action.delay, action.token)

    def check_health(self, action: CheckHealth) -> None:
        """Send a health check, which asks a backend for its load."""
        now = self.now()
        attempt = Attempt(
            None, 0, action.backend, now, now + HEALTH_CHECK_TIMEOUT, [encode_command(b"INFO", b"load")]
        )
        self.add_timer(attempt.deadline, attempt)
        self.pool.send(attempt)

    def close_idle(self, action: CloseIdleConnections) -> None:
        """Close a backend's idle connections."""
        self.pool.close_idle(action.backend)

    def send_to_peer(self, action: SendToPeer) -> None:
        """Send a datagram to a peer, or to all of them."""
        self.counters["told"] += 1
        self.peering.send(action.peer, action.payload)

    def write_log(self, action: Log) -> None:
        """Write a log line of the decisions."""
        logs.event("decisions_message", text=action.text)

    def watch_endpoints(self, action: WatchEndpoints) -> None:
        """Nothing to do: the watch always runs."""

    def fetch_endpoints(self, action: FetchEndpoints) -> None:
        """Nothing to do: the watch holds the latest list."""

    def increment_counter(self, action: IncrementCounter) -> None:
        """Report a failed increment: there is no counter service outside the simulator."""
        self.handle_event(CounterResult(action.name, 0.0, Status.CONNECT_FAILED, 0.0))
