"""Turns socket events into the module's events and carries out its actions on the sockets."""

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
from .config import Config, ConfigError, load, text_of
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

START_WAIT = 0.25  # s that a start waits for discovery's first word before it goes by `known`
STAY_UP = 0.5  # s after SIGTERM that new connections are taken; they keep coming for 0.4
LONGEST_MOST, KILL_WAIT = 3.0, 0.7  # s; SIGKILL comes so long after the longest deadline, 3 s at most
LAST_WORD = 0.15  # s before it by which all has its final answer
PROBE_TIMEOUT = 0.25  # s
SWEEP_EVERY = 0.1  # s between looks for connections to retire
REPORT_EVERY = 10.0  # s between lines of counts
FAILED = b"-ERR failed\r\n"
AT_START = ("discovery", "known", "seed")  # what a reload follows, or what only a start has a use for


class Gateway:
    """One gateway: the module's decisions between client connections and backend connections."""

    def __init__(self, reactor: Any, config: Config) -> None:
        self.reactor, self.config, self.settings = reactor, config, config.settings
        self.epoch = time.time() - time.monotonic()  # wall time at the start; later steps of it don't matter
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
        self.rpcs: dict[int, RPC] = {}  # taken and not answered
        self.out: dict[tuple[int, int], Attempt] = {}
        self.events: list[Event] = []
        self.busy = False
        self.timers = Timers(reactor, self.now, self.due)
        self.port: Any = None
        self.opening: Any = None  # the next try to listen
        self.begun = self.started = self.draining = self.ending = False
        self.last_at = math.inf  # by when all has its answer, once it drains
        self.peer_port: Any = None
        self.mute = False  # whether another life of this gateway speaks with the peers for good
        self.recovery: Recovery | None = None  # of what may be relied on after a pause, where that is on
        self.membership: Membership | None = None  # who of the tier is there, where that is on
        self.succession: Succession | None = None  # of lives, where the listening socket is handed down
        self.before_end: list[Any] = []  # whose `stop(done)` is called after the last answer
        self.reported = ""
        self.refused = 0
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
        """The module's clock: wall time at the start plus monotonic time since."""
        return self.epoch + time.monotonic()

    # Start and end

    def start(self) -> None:
        """Begin with the list last known; clients are let in once discovery has spoken, or soon anyway."""
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
        """Open the operations address, if there is one; while another process has it, clients are served."""
        if not self.config.ops or self.ending:
            return
        from . import ops

        try:
            self.ops_port = ops.listen(self.reactor, self.config.ops, self.operators)
        except CannotListenError as error:
            self.taken("ops_port_taken", self.config.ops, error)
            self.reactor.callLater(SWEEP_EVERY, self.hear_operators)

    def taken(self, what: str, at: tuple[str, int], error: CannotListenError) -> None:
        """Another process has an address of this one's: told once, and tried again until it is free."""
        if not invariants.counts[what]:
            logs.event("listen_failed", at=text_of(at), error=str(error.socketError))
        count(what)

    def hear(self) -> None:
        """Take the peers' datagrams. A process that this one replaces has the port until it ends."""
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
        """Speak with peers no more: another life of this gateway does."""
        self.mute = True
        if self.peer_port is not None:
            port, self.peer_port = self.peer_port, None
            port.stopListening()

    def open(self) -> None:
        """Let clients in; from here on PING is answered. A listening socket handed down is taken as it is.

        An address that another process has is tried again until it is free: it may be on its way out.
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
                at=text_of(self.config.listen),
                inherited=self.config.inherited is not None,
            )

    def open_again(self) -> None:
        """Try once more."""
        self.opening = None
        self.open()

    def watch_at(self, at: tuple[str, int], held: DiscoverySnapshot | None = None) -> Watch:
        """A watch of the discovery at that address; without a list held it asks for the whole one."""
        return Watch(self.reactor, at, self.settings, self.told, held, random.Random(self.config.seed))

    def watch_again(self) -> None:
        """Begin the watch anew, with the whole list."""
        self.watch.stop()
        if self.begun:
            self.watch = self.watch_at(self.config.discovery)
            self.watch.run()
        else:  # the start is yet to come, and begins it
            self.watch = self.watch_at(self.config.discovery, self.config.known)

    def reload(self) -> None:
        """SIGHUP: check the file whole, then move the watch; requests and connections go on."""
        if self.ending:
            return  # the watch has stopped for good
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
        logs.event("reloaded", discovery=text_of(new.discovery), at_next_start=",".join(late))

    def drain(self) -> None:
        """Planned end: connections are taken for a while, then those of clients close as they fall idle."""
        if not self.draining:
            self.draining = True
            logs.event("draining", open=len(self.rpcs))
            longest = min(LONGEST_MOST, max(c.deadline for c in self.settings.classes))
            left = max(STAY_UP, longest + KILL_WAIT - LAST_WORD)
            self.last_at = self.now() + left
            self.reactor.callLater(STAY_UP, self.close)
            self.reactor.callLater(left, self.last_call)

    def close(self) -> None:
        """Take no new connections; what was taken is still answered."""
        if self.succession is not None:
            self.succession.end()
        if self.port:
            if self.config.inherited is None:  # of a shared socket others accept on
                self.port.accept_queued()
            self.port.stopListening()
        for each in list(self.client_connections):
            each.close_when_idle()
        self.client_connection_ended()

    def last_call(self) -> None:
        """Answer all that is open: clients that stayed have asked more, and the process is killed soon."""
        for rpc in list(self.rpcs.values()):
            count("unserved_at_last_call")
            self.abandon(rpc)

    def abandon(self, rpc: RPC) -> None:
        """Give an RPC up from this side, in whatever state it is, with its one final answer."""
        rpc.left = True
        self.feed(ClientDisconnected(rpc.request.id))
        if rpc.attempt is None:
            self.refuse(Reject(rpc.request.id, 0.0))
        else:
            self.pool.give_up(rpc.attempt, Status.CANCELLED if rpc.attempt.whole else Status.ABANDONED)

    def client_connection_ended(self) -> None:
        """End once draining is done and the last client connection has closed."""
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
        """Have each of those stop in turn, then end."""
        if left:
            return left.pop().stop(lambda: self.end(left))
        self.report()
        self.reactor.stop()

    def sweep_later(self) -> None:
        """Have the next sweep come."""
        self.reactor.callLater(SWEEP_EVERY, self.sweep, self.now() + SWEEP_EVERY)

    def sweep(self, due: float) -> None:
        """Retire idle connections now and then; see what another life was told by hand."""
        self.lateness.fired(due, self.now(), time.process_time())
        self.sweep_later()  # first: whatever fails here, the next look comes
        self.operators.follow()
        self.pool.sweep()
        self.descriptors.sweep()

    def report(self) -> None:
        """Log the counts where they changed."""
        if (line := invariants.report()) != self.reported:
            self.reported = line
            logs.event("counts", **dict(sorted(invariants.counts.items())))
        if (total := self.decisions.requests.rejection_counts.total()) != self.refused:
            self.refused = total
            logs.event("refused", **dict(sorted(self.decisions.requests.rejection_counts.items())))
        self.reactor.callLater(REPORT_EVERY, self.report)

    # Events

    def feed(self, event: Event) -> None:
        """Hand an event to the module; what actions cause at once goes into its next call."""
        self.events.append(event)
        if not self.busy:
            self.pump()

    def pump(self) -> None:
        """Call the module until nothing is left to tell it, and carry out what it wants."""
        if self.recovery is not None:
            self.recovery.check_stall(self.now())
        self.busy = True
        try:
            while self.events:
                events, self.events = self.events, []
                try:
                    actions = self.decisions.handle(self.now(), events)
                except Exception:  # costs the RPCs of these events only
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
        """Failures for the RPCs that these events were about, as far as none of them was sent just now."""
        sent = {a.id for a in self.decisions.actions if isinstance(a, StartAttempt)}
        ids = {e.id for e in events if isinstance(e, Request | AttemptEnded)} - sent
        return [Fail(i) for i in sorted(ids) if i in self.rpcs and not self.rpcs[i].attempt]

    def take(self, rpc: RPC) -> None:
        """An RPC has come whole; from here on it is owed an answer, at once where its time is over."""
        self.rpcs[rpc.request.id] = rpc
        if self.draining and rpc.deadline > self.last_at:
            rpc.deadline = self.last_at
            rpc.request = dataclasses.replace(rpc.request, timeout=max(0.0, self.last_at - self.now()))
        if (self.recovery is not None or self.draining) and rpc.request.timeout <= 0:
            count("request_too_old")
            return self.refuse(Reject(rpc.request.id, 0.0))
        self.feed(rpc.request)

    def turned_down(self, rpc: RPC, after: float) -> bytes:
        """A command is refused before it has come whole; the answer to give."""
        rpc.done = True
        self.reader.open.discard(rpc.id)
        self.tally["busy"] += 1
        return self.rejection(min(after, self.settings.max_retry_after))

    def beyond_quota(self, request: Request) -> float | None:
        """The wait to advise where a command can be refused on its head alone, else None."""
        try:
            return self.decisions.early_rejection(self.now(), request)
        except Exception:
            count("module_failed")
            logs.event("module_failed", events=[request], trace=traceback.format_exc())
            return None

    def gone(self, rpc: RPC) -> None:
        """Its client has gone away: what a backend has not got whole is not sent any more."""
        if self.settle(rpc.request.id) is not None:
            self.feed(ClientDisconnected(rpc.request.id))
            if rpc.attempt is not None and not rpc.attempt.whole:
                self.pool.give_up(rpc.attempt, Status.ABANDONED)

    def left(self, rpc: RPC) -> None:
        """Its client sends no more, as one that has gone: nothing more is begun for it.

        One that has only ended its sending still reads, so it has its one final answer all the same: an
        attempt that a backend has goes on and is that answer, else it is refused here.
        """
        if rpc.attempt is None or not rpc.attempt.whole:
            return self.abandon(rpc)
        rpc.left = True
        self.feed(ClientDisconnected(rpc.request.id))

    def let_go(self, rpc: RPC) -> None:
        """An attempt can't begin any more, for its client has left: the RPC ends with it."""
        count("attempt_not_begun")
        if rpc.client_connection.is_reset:
            self.gone(rpc)
        else:
            self.left(rpc)

    def may_write(self, attempt: Attempt) -> bool:
        """Whether an attempt whose connection has come up may begin; one that may not is given up."""
        rpc = attempt.rpc
        if rpc is None:
            return True
        if rpc.done:  # answered meanwhile, and the decisions may not cancel
            self.pool.give_up(attempt, Status.ABANDONED)
            return False
        if rpc.client_connection.may_begin(self.now()):
            return True
        self.let_go(rpc)
        return False

    def finished(self, attempt: Attempt, reply: Reply) -> None:
        """An attempt ended; a value is passed on before the module hears of it."""
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
        elif rpc.left:  # the decisions have let go of it
            never = rpc.attempts == 1 and reply.status in NEVER_RAN
            self.refuse(Reject(rid, 0.0)) if never else self.fail(Fail(rid))
        if self.decisions.admission_ramp is not None:
            self.decisions.admission_ramp.record_outcome(reply.status is Status.OK)
        self.feed(
            AttemptEnded(rid, attempt.number, attempt.server, reply.status, elapsed, rpc.done, report=report)
        )

    def passing(self, attempt: Attempt, response_stream: ResponseStream) -> bool:
        """The first bytes of a long answer: it is the final one. Whether somebody waits for it.

        The decisions are told the time up to here. What a slow reader adds says nothing of the backend.
        """
        if (rpc := self.settle(attempt.rpc.request.id)) is None:
            return False
        attempt.first = max(0.0, self.now() - attempt.sent_at)
        self.tally["success"] += 1
        rpc.client_connection.pass_on(rpc, response_stream)
        self.feed(StreamStarted(rpc.request.id, attempt.number, attempt.server, attempt.first))
        return True

    def heard(self, peer: int, payload: bytes) -> None:
        """A peer's datagram; one that came while the process stood still is as good as lost."""
        self.tally["heard"] += 1
        if self.decisions.is_endpoint_list_stale:
            return count("datagram_old")
        self.feed(PeerMessage(peer, payload))

    def told(self, result: DiscoverySnapshot) -> None:
        """Discovery's word."""
        if self.recovery is not None:
            self.recovery.discovery_answered()
            self.recovery.backends_known(len(result.entries))
        self.backends.take(result, UpdateKind.COMPLETE if result.complete else UpdateKind.DELTA)
        self.open()

    def timer(self, due: float, what: int | Attempt) -> None:
        """Have a token announced, or an attempt ended, at a time."""
        self.timers.at(due, what)
        if not self.busy:
            self.timers.arm()

    def due(self, tokens: list[int], late: list[Attempt]) -> None:
        """Timers ran out: the module hears of its own in one call, and attempts end."""
        self.events += [TimerExpired(token) for token in tokens]
        self.pump()
        for attempt in late:
            if attempt.first is None:  # an answer that has begun is waited for
                self.pool.give_up(attempt, Status.TIMEOUT)

    # Actions

    def answer(self, rid: int, reply: list[Any]) -> None:
        """The one final answer; what has one already, or whose client is gone, gets none."""
        if (rpc := self.settle(rid)) is not None:
            rpc.client_connection.answer(rpc, reply)

    def settle(self, rid: int) -> RPC | None:
        """Take an RPC off the books, for its final answer; None for one that is off them."""
        if (rpc := self.rpcs.pop(rid, None)) is not None:
            rpc.done = True
            self.reader.open.discard(rpc.id)
            rpc.release()
        return rpc

    def send(self, a: StartAttempt) -> None:
        """Start an attempt; it ends with the client's patience at the latest."""
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
        """Until when backends drop a repeat of what may have run; no end where there is none to drop.

        The decisions send nothing after it, but a connection may come up, or take the last byte, later.
        """
        cls = self.settings.classes[rpc.request.request_class]
        if cls.effect is not Effect.IDEMPOTENCY_KEY or rpc.ran_since is None:
            return math.inf
        return rpc.ran_since + cls.deduplication_window

    def refuse(self, a: Reject) -> None:
        """A rejection, with the time after which to come again where that is allowed."""
        self.tally["busy"] += a.id in self.rpcs
        self.answer(a.id, [self.rejection(a.retry_after)])

    def rejection(self, after: float) -> bytes:
        """A rejection as it is written."""
        wait = math.ceil(after * 1000) if self.settings.may_send_retry_after else 0
        return b"-BUSY %d\r\n" % wait if wait > 0 else b"-BUSY\r\n"

    def fail(self, a: Fail) -> None:
        """A failure that promises nothing."""
        self.tally["failure"] += a.id in self.rpcs
        self.answer(a.id, [FAILED])

    def cancel(self, a: CancelAttempt) -> None:
        """Stop waiting for an attempt."""
        if (attempt := self.out.get((a.id, a.attempt))) is not None:
            self.pool.give_up(attempt, Status.CANCELLED)

    def set_timer(self, a: SetTimer) -> None:
        """A timer of the module's."""
        self.timer(self.now() + a.delay, a.token)

    def probe(self, a: CheckHealth) -> None:
        """Ask a backend for its load."""
        now = self.now()
        attempt = Attempt(None, 0, a.backend, now, now + PROBE_TIMEOUT, [command(b"INFO", b"load")])
        self.timer(attempt.until, attempt)
        self.pool.send(attempt)

    def close_idle(self, a: CloseIdleConnections) -> None:
        """Close a backend's idle connections."""
        self.pool.close_idle(a.backend)

    def tell(self, a: SendToPeer) -> None:
        """A datagram."""
        self.tally["told"] += 1
        self.peering.tell(a.peer, a.payload)

    def write_log(self, a: Log) -> None:
        """A line for the operators."""
        logs.event("module_says", text=a.text)

    def subscribe(self, a: WatchEndpoints) -> None:
        """The watch runs always: nothing to do."""

    def fetch_list(self, a: FetchEndpoints) -> None:
        """The watch holds the newest list there is: nothing to do."""

    def count(self, a: IncrementCounter) -> None:
        """No counter service is offered to real gateways: nothing was added."""
        self.feed(CounterResult(a.name, 0.0, Status.CONNECT_FAILED, 0.0))
