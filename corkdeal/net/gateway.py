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
from . import client_connection, client_port, invariants
from .backend_connection import Attempt, Pool, Reply
from .backends import Backends
from .budget import Budget, budget_for
from .config import Config, ConfigError, format_address, load
from .descriptors import Descriptors
from .discovery_snapshot import DiscoverySnapshot
from .discovery_watch import Watch
from .invariants import count, holds
from .loop_lateness import LoopLateness
from .manual_overrides import ManualOverrides
from .operators import Operators
from .peering import Peering
from .resp import command, report_of
from .response_stream import ResponseStream
from .rpc import RPC, Reader
from .timers import Timers

if TYPE_CHECKING:
    from .membership import Membership
    from .recovery import Recovery
    from .upgrade import Succession

START_WAIT = 0.25  # s that a start waits for discovery's first endpoint list before it accepts clients
STAY_UP = 0.5  # s after SIGTERM in which connections are accepted; new ones keep arriving for 0.4 s
# SIGKILL follows SIGTERM after the longest deadline of the request classes (at most LONGEST_MOST s) plus
# KILL_WAIT s.
LONGEST_MOST, KILL_WAIT = 3.0, 0.7
LAST_WORD = 0.15  # s before SIGKILL by which each open request gets its final answer
PROBE_TIMEOUT = 0.25  # s for a health check
SWEEP_EVERY = 0.1  # s between sweeps of expired connections, and between attempts to listen
REPORT_EVERY = 10.0  # s between log lines with the counters
FAILED = b"-ERR failed\r\n"
# Not reported as pending after a reload: `discovery` is applied at once, the others matter to a start only.
AT_START = ("discovery", "known", "seed")


class Gateway:
    """One gateway: connects the decision module to client connections, backend connections and peers."""

    def __init__(self, reactor: Any, config: Config) -> None:
        self.reactor, self.config, self.settings = reactor, config, config.settings
        self.epoch = time.time() - time.monotonic()  # wall time at the start; later steps don't matter
        self.decisions = Decisions(self.settings, config.seed)
        self.reader = Reader(self.settings)
        self.client_connections: set[client_connection.ClientConnection] = set()
        self.lateness = LoopLateness()
        self.budget = Budget(budget_for(config.memory))
        self.descriptors = Descriptors(config.sockets, self.client_connections, self.now)
        self.pool = Pool(
            reactor,
            self.settings,
            config.sockets // 2,
            self.now,
            self.finished,
            self.descriptors.for_backend_connection,
            self.passing,
            self.may_write,
            self.budget,
        )
        self.descriptors.pool = self.pool
        self.peering = Peering(self.settings.gateway_index, config.peers, config.peers_all, self.heard)
        self.watch = self.watch_at(config.discovery, config.known)
        self.report_names = {f: f for f in self.settings.report_fields}
        self.rpcs: dict[int, RPC] = {}  # accepted and not yet answered, by request id
        self.out: dict[tuple[int, int], Attempt] = {}  # in flight, by request id and attempt number
        self.events: list[Event] = []  # not yet handed to the decisions
        self.busy = False  # whether `pump` is running
        self.timers = Timers(reactor, self.now, self.due)
        self.port: Any = None
        self.opening: Any = None  # the delayed call that retries listening
        self.begun = self.started = self.draining = self.ending = False
        self.last_at = math.inf  # while draining: when all must be answered
        self.peer_port: Any = None
        self.mute = False  # whether the successor now communicates with the peers
        self.recovery: Recovery | None = None  # handles starts and stalls, if enabled
        self.membership: Membership | None = None  # tracks the tier's running gateways, if enabled
        self.succession: Succession | None = None  # quota handover, with an inherited socket
        self.before_end: list[Any] = []  # their `stop(done)` is called after the last answer, before exit
        self.reported = ""  # counters as last logged
        self.refused = 0  # rejections as last logged
        self.ops_port: Any = None
        overrides = ManualOverrides(config.name) if config.ops else None
        if overrides:
            overrides.load()
        self.backends = Backends(self.pool, overrides, lambda event: self.events.append(event), self.pump)
        self.operators = Operators(self, self.backends)
        self.tally = self.operators.tally
        self.act = {
            StartAttempt: self.send,
            Reject: self.refuse,
            Fail: self.fail,
            CancelAttempt: self.cancel,
            SetTimer: self.set_timer,
            CheckHealth: self.probe,
            CloseIdleConnections: self.close_idle,
            SendToPeer: self.tell,
            Log: self.write_log,
            WatchEndpoints: self.subscribe,
            FetchEndpoints: self.fetch_list,
            IncrementCounter: self.count,
        }

    def now(self) -> float:
        """The clock of the decisions: wall time at the start plus monotonic time since."""
        return self.epoch + time.monotonic()

    # Start and shutdown

    def start(self) -> None:
        """Start with the configured endpoint list; accept clients after discovery's answer or START_WAIT."""
        self.begun = True
        known = self.config.known
        if self.recovery is not None:
            self.recovery.backends_known(len(known.entries) if known else 0)
        if known:
            self.backends.take(known, UpdateKind.CACHED)
        else:
            self.feed(EndpointUpdate(UpdateKind.CACHED))
        self.hear_operators()
        self.hear()
        self.watch.run()
        self.reactor.callLater(START_WAIT, self.open)
        self.sweep_later()
        self.reactor.callLater(REPORT_EVERY, self.report)

    def hear_operators(self) -> None:
        """Open the operations address, if configured; while it is in use, retry without delaying clients."""
        if not self.config.ops or self.ending:
            return
        from . import ops

        try:
            self.ops_port = ops.listen(self.reactor, self.config.ops, self.operators)
        except CannotListenError as error:
            self.taken("ops_port_taken", self.config.ops, error)
            self.reactor.callLater(SWEEP_EVERY, self.hear_operators)

    def taken(self, what: str, at: tuple[str, int], error: CannotListenError) -> None:
        """Count an address that another process uses; it is logged the first time, and callers retry."""
        if not invariants.counts[what]:
            logs.event("listen_failed", at=format_address(at), error=str(error.socketError))
        count(what)

    def hear(self) -> None:
        """Listen for the peers' datagrams. During an upgrade, the predecessor has the port until it ends."""
        waits = self.succession is not None and self.succession.waits
        if not self.config.peer_listen or self.mute or waits:
            return
        host, port = self.config.peer_listen
        try:
            self.peer_port = self.reactor.listenUDP(port, self.peering, interface=host, maxPacketSize=1024)
        except CannotListenError as error:
            self.taken("peer_port_taken", self.config.peer_listen, error)
            self.reactor.callLater(SWEEP_EVERY, self.hear)

    def be_silent(self) -> None:
        """Stop communicating with peers for good: the successor does from now on."""
        self.mute = True
        if self.peer_port is not None:
            port, self.peer_port = self.peer_port, None
            port.stopListening()

    def open(self) -> None:
        """Accept clients; from here on PING is answered. An inherited listening socket is used as it is.

        An address in use is retried until it is free, since the process that has it may be shutting down.
        """
        if not self.started and not self.draining:
            clients = client_connection.ClientConnections(self)
            try:
                if self.config.inherited is not None:
                    self.port = client_port.adopt(self.reactor, self.config.inherited, clients)
                else:
                    self.port = client_port.listen(self.reactor, self.config.listen, clients)
            except CannotListenError as error:
                self.taken("listen_failed", self.config.listen, error)
                self.opening = self.opening or self.reactor.callLater(SWEEP_EVERY, self.open_again)
                return
            self.started = True
            logs.event(
                "serving",
                name=self.config.name,
                at=format_address(self.config.listen),
                inherited=self.config.inherited is not None,
            )

    def open_again(self) -> None:
        """Retry listening."""
        self.opening = None
        self.open()

    def watch_at(self, at: tuple[str, int], held: DiscoverySnapshot | None = None) -> Watch:
        """Create a watch of the discovery service; without a `held` list it fetches a complete one first."""
        return Watch(self.reactor, at, self.settings, self.told, held, random.Random(self.config.seed))

    def watch_again(self) -> None:
        """Restart the watch, beginning with the complete list."""
        self.watch.stop()
        if self.begun:
            self.watch = self.watch_at(self.config.discovery)
            self.watch.run()
        else:  # `start` has not been called yet, and will run it
            self.watch = self.watch_at(self.config.discovery, self.config.known)

    def reload(self) -> None:
        """Reload the configuration (SIGHUP). If it is valid, restart the watch; requests are not affected."""
        if self.ending:
            return  # the watch has been stopped for good
        try:
            new = load()
        except ConfigError as error:
            count("reload_refused")
            self.tally["reconfig_failed"] += 1
            return logs.event("reload_refused", error=str(error))
        self.tally["reconfig_ok"] += 1
        late = [
            f.name
            for f in dataclasses.fields(new)
            if f.name not in AT_START and getattr(new, f.name) != getattr(self.config, f.name)
        ]
        self.config = dataclasses.replace(self.config, discovery=new.discovery)
        self.watch_again()
        logs.event("reloaded", discovery=format_address(new.discovery), at_next_start=",".join(late))

    def drain(self) -> None:
        """Shut down: accept connections for STAY_UP s, then close client connections as they become idle."""
        if not self.draining:
            self.draining = True
            logs.event("draining", open=len(self.rpcs))
            longest = min(LONGEST_MOST, max(c.deadline for c in self.settings.classes))
            left = max(STAY_UP, longest + KILL_WAIT - LAST_WORD)
            self.last_at = self.now() + left
            self.reactor.callLater(STAY_UP, self.close)
            self.reactor.callLater(left, self.last_call)

    def close(self) -> None:
        """Stop accepting connections; requests on accepted ones are still answered."""
        if self.succession is not None:
            self.succession.end()
        if self.port:
            if self.config.inherited is None:  # the queue of an inherited socket is left to other processes
                self.port.accept_queued()
            self.port.stopListening()
        for each in list(self.client_connections):
            each.close_when_idle()
        self.client_connection_ended()

    def last_call(self) -> None:
        """Answer all requests that are still open, because the process will be killed soon."""
        for rpc in list(self.rpcs.values()):
            count("unserved_at_last_call")
            self.abandon(rpc)

    def abandon(self, rpc: RPC) -> None:
        """End an RPC in whatever state it is, with exactly one final answer."""
        rpc.left = True
        self.feed(ClientDisconnected(rpc.request.id))
        if rpc.attempt is None:
            self.refuse(Reject(rpc.request.id, 0.0))
        else:
            self.pool.give_up(rpc.attempt, Status.CANCELLED if rpc.attempt.whole else Status.ABANDONED)

    def client_connection_ended(self) -> None:
        """Begin the shutdown's last steps if the gateway is draining and nothing is open any more."""
        if (
            self.draining
            and not (self.ending or self.client_connections or self.rpcs)
            and self.reactor.running
            and (not self.port or self.port.disconnecting or self.port.disconnected)
        ):
            self.ending = True
            self.watch.stop()
            self.end(self.before_end[:])

    def end(self, left: list[Any]) -> None:
        """Stop the given subsystems one after another, then the reactor."""
        if left:
            return left.pop().stop(lambda: self.end(left))
        self.report()
        self.reactor.stop()

    def sweep_later(self) -> None:
        """Schedule the next sweep."""
        self.reactor.callLater(SWEEP_EVERY, self.sweep, self.now() + SWEEP_EVERY)

    def sweep(self, due: float) -> None:
        """Close expired connections, and apply manual overrides that were made at another process."""
        self.lateness.fired(due, self.now(), time.process_time())
        self.sweep_later()  # first, so that an exception below does not end the sweeps
        self.operators.follow()
        self.pool.sweep()
        self.descriptors.sweep()

    def report(self) -> None:
        """Log the counters and the rejections by cause, if they changed."""
        if (line := invariants.report()) != self.reported:
            self.reported = line
            logs.event("counts", **dict(sorted(invariants.counts.items())))
        if (total := self.decisions.requests.rejection_causes.total()) != self.refused:
            self.refused = total
            logs.event("refused", **dict(sorted(self.decisions.requests.rejection_causes.items())))
        self.reactor.callLater(REPORT_EVERY, self.report)

    # Events

    def feed(self, event: Event) -> None:
        """Queue an event and hand it to the decisions; events caused by actions go into the next batch."""
        self.events.append(event)
        if not self.busy:
            self.pump()

    def pump(self) -> None:
        """Hand queued events to the decisions and carry out the returned actions until the queue is empty."""
        if self.recovery is not None:
            self.recovery.check_stall(self.now())
        self.busy = True
        try:
            while self.events:
                events, self.events = self.events, []
                try:
                    actions = self.decisions.handle(self.now(), events)
                except Exception:  # only the RPCs of these events fail
                    count("module_failed")
                    logs.event("module_failed", events=events, trace=traceback.format_exc())
                    actions = self.decisions.actions + self.orphans(events)
                for action in actions:
                    try:
                        self.act[type(action)](action)
                    except Exception:
                        count("action_failed")
                        logs.event("action_failed", action=action, trace=traceback.format_exc())
                        if (rpc := self.rpcs.get(getattr(action, "id", -1))) is not None and not rpc.attempt:
                            self.fail(Fail(rpc.request.id))
        finally:
            self.busy = False
        self.timers.arm()

    def orphans(self, events: list[Event]) -> list[Action]:
        """Failures for the RPCs of these events, except those for which an attempt was just started."""
        sent = {a.id for a in self.decisions.actions if isinstance(a, StartAttempt)}
        ids = {e.id for e in events if isinstance(e, Request | AttemptEnded)} - sent
        return [Fail(i) for i in sorted(ids) if i in self.rpcs and not self.rpcs[i].attempt]

    def take(self, rpc: RPC) -> None:
        """Accept an RPC that was received completely; it is rejected at once if its time is over."""
        self.rpcs[rpc.request.id] = rpc
        if self.draining and rpc.deadline > self.last_at:
            rpc.deadline = self.last_at
            rpc.request = dataclasses.replace(rpc.request, timeout=max(0.0, self.last_at - self.now()))
        if (self.recovery is not None or self.draining) and rpc.request.timeout <= 0:
            count("request_too_old")
            return self.refuse(Reject(rpc.request.id, 0.0))
        self.feed(rpc.request)

    def turned_down(self, rpc: RPC, after: float) -> bytes:
        """Reject an RPC before it is handed to the decisions; returns the encoded answer."""
        rpc.done = True
        self.reader.open.discard(rpc.id)
        self.tally["busy"] += 1
        return self.rejection(min(after, self.settings.max_retry_after))

    def beyond_quota(self, request: Request) -> float | None:
        """Seconds to wait before a retry if a command can be rejected by its head alone, else None."""
        try:
            return self.decisions.early_rejection(self.now(), request)
        except Exception:
            count("module_failed")
            logs.event("module_failed", events=[request], trace=traceback.format_exc())
            return None

    def gone(self, rpc: RPC) -> None:
        """The client has disconnected: an attempt that is not written completely is given up."""
        if self.settle(rpc.request.id) is not None:
            self.feed(ClientDisconnected(rpc.request.id))
            if rpc.attempt is not None and not rpc.attempt.whole:
                self.pool.give_up(rpc.attempt, Status.ABANDONED)

    def left(self, rpc: RPC) -> None:
        """The client has closed its sending side, as one that has disconnected: start nothing more for it.

        A client that has only half-closed the connection still reads, so it gets its one final answer: an
        attempt that a backend has received completely goes on and provides it, else the RPC is rejected.
        """
        if rpc.attempt is None or not rpc.attempt.whole:
            return self.abandon(rpc)
        rpc.left = True
        self.feed(ClientDisconnected(rpc.request.id))

    def let_go(self, rpc: RPC) -> None:
        """End an RPC whose attempt can't begin any more because the client has left."""
        count("attempt_not_begun")
        if rpc.client_connection.is_reset:
            self.gone(rpc)
        else:
            self.left(rpc)

    def may_write(self, attempt: Attempt) -> bool:
        """Whether an attempt may be written on its newly opened connection; if not, it is given up."""
        rpc = attempt.rpc
        if rpc is None:
            return True
        if rpc.done:  # answered meanwhile, and the settings forbid the decisions to cancel attempts
            self.pool.give_up(attempt, Status.ABANDONED)
            return False
        if rpc.client_connection.may_begin(self.now()):
            return True
        self.let_go(rpc)
        return False

    def finished(self, attempt: Attempt, reply: Reply) -> None:
        """An attempt ended: send a value to the client, then notify the decisions."""
        if self.recovery is not None:
            self.recovery.check_stall(self.now())
        elapsed, rpc = attempt.first, attempt.rpc
        if elapsed is None:
            elapsed = max(0.0, self.now() - attempt.sent_at)
        report = report_of(reply.report, self.report_names) if reply.report else {}
        if rpc is None:
            return self.feed(HealthCheckResult(attempt.server, reply.status, elapsed, report))
        rid = rpc.request.id
        self.out.pop((rid, attempt.number), None)
        rpc.attempt = None
        if rpc.ran_since is None and reply.status not in NEVER_RAN:
            rpc.ran_since = attempt.decided_at
        rpc.release()
        if reply.status is Status.OK and not rpc.done:
            self.tally["success"] += 1
            self.answer(rid, [reply.value])
        elif rpc.left:  # the decisions have dropped it
            never = rpc.attempts == 1 and reply.status in NEVER_RAN
            self.refuse(Reject(rid, 0.0)) if never else self.fail(Fail(rid))
        if self.decisions.admission_ramp is not None:
            self.decisions.admission_ramp.record_outcome(reply.status is Status.OK)
        self.feed(
            AttemptEnded(rid, attempt.number, attempt.server, reply.status, elapsed, rpc.done, report=report)
        )

    def passing(self, attempt: Attempt, response_stream: ResponseStream) -> bool:
        """A long answer has begun, which makes it final; returns whether the RPC still waits for one.

        The decisions get the time until now, because the rest depends on how fast the client reads.
        """
        if (rpc := self.settle(attempt.rpc.request.id)) is None:
            return False
        attempt.first = max(0.0, self.now() - attempt.sent_at)
        self.tally["success"] += 1
        rpc.client_connection.pass_on(rpc, response_stream)
        self.feed(StreamStarted(rpc.request.id, attempt.number, attempt.server, attempt.first))
        return True

    def heard(self, peer: int, payload: bytes) -> None:
        """Handle a peer's datagram; one that may have arrived during a stall is dropped as outdated."""
        self.tally["heard"] += 1
        if self.decisions.is_endpoint_list_stale:
            return count("datagram_old")
        self.feed(PeerMessage(peer, payload))

    def told(self, result: DiscoverySnapshot) -> None:
        """Apply an endpoint list or delta from discovery, and accept clients."""
        if self.recovery is not None:
            self.recovery.discovery_answered()
            self.recovery.backends_known(len(result.entries))
        self.backends.take(result, UpdateKind.COMPLETE if result.complete else UpdateKind.DELTA)
        self.open()

    def timer(self, due: float, what: int | Attempt) -> None:
        """Set a timer that returns a token to the decisions, or ends an attempt, at `due`."""
        self.timers.at(due, what)
        if not self.busy:
            self.timers.arm()

    def due(self, tokens: list[int], late: list[Attempt]) -> None:
        """Timers expired: hand the decisions' tokens over in one batch, then time attempts out."""
        self.events += [TimerExpired(token) for token in tokens]
        self.pump()
        for attempt in late:
            if attempt.first is None:  # an answer that has begun may take longer
                self.pool.give_up(attempt, Status.TIMEOUT)

    # Actions

    def answer(self, rid: int, reply: list[Any]) -> None:
        """Send an RPC's one final answer, unless it has one or its client has disconnected."""
        if (rpc := self.settle(rid)) is not None:
            rpc.client_connection.answer(rpc, reply)

    def settle(self, rid: int) -> RPC | None:
        """Remove an RPC from the open ones, for its final answer; None if it is not open."""
        if (rpc := self.rpcs.pop(rid, None)) is not None:
            rpc.done = True
            self.reader.open.discard(rpc.id)
            rpc.release()
        return rpc

    def send(self, a: StartAttempt) -> None:
        """Start an attempt; it ends at the client's deadline at the latest."""
        rpc, now = self.rpcs.get(a.id), self.now()
        if rpc is None or not holds(rpc.attempt is None, "two_attempts_at_once"):
            number = rpc.attempts if rpc else 0
            return self.feed(AttemptEnded(a.id, number, a.backend, Status.ABANDONED, 0.0, rpc is None))
        if not rpc.client_connection.may_begin(now):
            self.let_go(rpc)
            return self.feed(AttemptEnded(a.id, rpc.attempts, a.backend, Status.ABANDONED, 0.0, True))
        until = min(rpc.deadline, now + a.timeout) if a.timeout > 0 else rpc.deadline
        attempt = Attempt(rpc, rpc.attempts, a.backend, now, until, rpc.parts(until - now))
        attempt.decided_at, attempt.write_by = now, self.window_end(rpc)
        self.out[a.id, attempt.number] = rpc.attempt = attempt
        rpc.attempts += 1
        self.tally["backend_calls"] += 1
        self.timer(until, attempt)
        self.pool.send(attempt)
        self.pool.limit_write(attempt)

    def window_end(self, rpc: RPC) -> float:
        """End of the deduplication window of an RPC that may have run; infinite if there is none.

        A retry must be written by then, for the backend would run it again later. The decisions start no
        attempt after it, but the connection may come up, or accept the last byte, later.
        """
        cls = self.settings.classes[rpc.request.request_class]
        if cls.effect is not Effect.IDEMPOTENCY_KEY or rpc.ran_since is None:
            return math.inf
        return rpc.ran_since + cls.deduplication_window

    def refuse(self, a: Reject) -> None:
        """Reject a request, with a retry-after time where the settings allow one."""
        self.tally["busy"] += a.id in self.rpcs
        self.answer(a.id, [self.rejection(a.retry_after)])

    def rejection(self, after: float) -> bytes:
        """The encoded rejection; `after` is the retry-after time in s."""
        wait = math.ceil(after * 1000) if self.settings.may_send_retry_after else 0
        return b"-BUSY %d\r\n" % wait if wait > 0 else b"-BUSY\r\n"

    def fail(self, a: Fail) -> None:
        """Answer that a request failed; it may or may not have run."""
        self.tally["failure"] += a.id in self.rpcs
        self.answer(a.id, [FAILED])

    def cancel(self, a: CancelAttempt) -> None:
        """Cancel an attempt."""
        if (attempt := self.out.get((a.id, a.attempt))) is not None:
            self.pool.give_up(attempt, Status.CANCELLED)

    def set_timer(self, a: SetTimer) -> None:
        """Set a timer of the decisions."""
        self.timer(self.now() + a.delay, a.token)

    def probe(self, a: CheckHealth) -> None:
        """Send a health check, which asks a backend for its load."""
        now = self.now()
        attempt = Attempt(None, 0, a.backend, now, now + PROBE_TIMEOUT, [command(b"INFO", b"load")])
        self.timer(attempt.until, attempt)
        self.pool.send(attempt)

    def close_idle(self, a: CloseIdleConnections) -> None:
        """Close a backend's idle connections."""
        self.pool.close_idle(a.backend)

    def tell(self, a: SendToPeer) -> None:
        """Send a datagram to a peer, or to all of them."""
        self.tally["told"] += 1
        self.peering.tell(a.peer, a.payload)

    def write_log(self, a: Log) -> None:
        """Write a log line of the decisions."""
        logs.event("module_says", text=a.text)

    def subscribe(self, a: WatchEndpoints) -> None:
        """Nothing to do: the watch always runs."""

    def fetch_list(self, a: FetchEndpoints) -> None:
        """Nothing to do: the watch holds the latest list."""

    def count(self, a: IncrementCounter) -> None:
        """Report a failed increment: there is no counter service outside the simulator."""
        self.feed(CounterResult(a.name, 0.0, Status.CONNECT_FAILED, 0.0))
