"""The watch against a discovery of fixed capacity that many gateways share, with a fake clock."""

import itertools
import random

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from corkdeal.net import discovery_snapshot, discovery_watch

from .helpers import settings

HELD = discovery_snapshot.DiscoverySnapshot(3, True, (), {})
QUEUE_TIMEOUT = 2.0  # s that discovery queues a call before it rejects it


class Discovery:
    """Serves calls one by one, also those already abandoned; calls of a continuing watch cost nothing."""

    def __init__(self, clock, call_cost=0.13, entry_cost=0.005, entries=60):
        self.clock, self.call_cost, self.full_list_cost = clock, call_cost, entry_cost * entries
        self.free_at, self.watching, self.calls = 0.0, {}, []

    def call(self, watch):
        """Replaces the watch's own call over HTTP."""
        now, done = self.clock.seconds(), Deferred()
        if watch.revision is not None and now - self.watching.get(watch, -1.0) <= 0.2:
            self.respond_after(watch, done, 2.0)
            return done
        self.calls.append((now, watch.revision))
        self.free_at = (
            max(now, self.free_at) + self.call_cost + (self.full_list_cost if watch.revision is None else 0.0)
        )
        if self.free_at - now <= QUEUE_TIMEOUT:
            self.respond_after(watch, done, self.free_at - now)
        else:
            self.clock.callLater(QUEUE_TIMEOUT, done.errback, discovery_watch.OverloadedError("503"))
        return done

    def respond_after(self, watch, done, wait):
        def respond():
            self.watching[watch] = self.clock.seconds()
            done.callback(discovery_snapshot.DiscoverySnapshot(3, watch.revision is None, (), {}))

        self.clock.callLater(wait, respond)


def start(clock, discovery, index, received, held=HELD, **more):
    watch_settings = settings(index, is_endpoint_list_pushed=False, **more)
    watch = discovery_watch.DiscoveryWatch(
        clock, ("127.0.0.1", 1), watch_settings, received.append, held, random.Random(index)
    )
    watch.call = lambda: discovery.call(watch)
    watch.run()
    return watch


def advance(clock, seconds):
    for _ in range(round(seconds / 0.05)):
        clock.advance(0.05)


@pytest.mark.parametrize("gateways", [4, 40, 100])
def test_gateways_that_start_together_all_come_to_watch(gateways):
    clock, received = Clock(), [[] for _ in range(gateways)]
    discovery = Discovery(clock)
    for index in range(gateways):
        start(clock, discovery, index, received[index], gateways=gateways)
    advance(clock, 1.0 + gateways)
    assert all(received)
    assert len(discovery.calls) < 3 * gateways
    assert all(revision == HELD.revision for _, revision in discovery.calls)


def test_a_failure_keeps_what_is_held_and_a_bad_list_asks_for_all_of_it():
    clock, received = Clock(), []
    discovery = Discovery(clock)
    failures = [
        discovery_watch.UnavailableError("503"),
        TimeoutError(),
        discovery_snapshot.ListError("revision"),
        None,
    ]
    watch = start(clock, discovery, 0, received, gateways=4)
    asked_revisions = []

    def call():
        asked_revisions.append(watch.revision)
        if failures and (error := failures.pop(0)):
            done = Deferred()
            clock.callLater(0.01, done.errback, error)
            return done
        return discovery.call(watch)

    watch.call = call
    advance(clock, 12.0)
    assert asked_revisions[:5] == [3, 3, 3, None, 3]
    assert received


def test_a_discovery_that_began_anew_is_asked_for_the_whole_list():
    clock, received = Clock(), []
    held = discovery_snapshot.DiscoverySnapshot(41, True, (), {})
    discovery = Discovery(clock)
    start(clock, discovery, 0, received, held, gateways=4)
    advance(clock, 3.0)
    assert [revision for _, revision in discovery.calls] == [41, None]
    assert [result.complete for result in received][:1] == [True]


def test_a_stop_while_it_waits_to_call_makes_no_call():
    clock = Clock()
    discovery = Discovery(clock)
    start(clock, discovery, 0, [], gateways=40).stop()
    advance(clock, 10.0)
    assert not discovery.calls


class HeadersOnly:
    """An agent whose responses have headers, but whose bodies never arrive."""

    code = 200

    def __init__(self, clock, head_after):
        self.clock, self.head_after, self.calls, self.abandoned = clock, head_after, [], 0

    def request(self, method, url):
        self.calls.append(self.clock.seconds())
        done = Deferred()
        self.clock.callLater(self.head_after, done.callback, self)
        return done

    def deliverBody(self, protocol):
        protocol.makeConnection(self)

    def loseConnection(self):
        """The call was abandoned."""
        self.abandoned += 1


@pytest.mark.parametrize("head_after", [0.0, 1.5, 2.9])
def test_head_and_body_of_an_answer_together_have_the_time_of_one_call(head_after):
    clock, received = Clock(), []
    watch = discovery_watch.DiscoveryWatch(
        clock, ("127.0.0.1", 1), settings(drain_grace=0.25), received.append, HELD, random.Random(1)
    )
    watch.agent = agent = HeadersOnly(clock, head_after)
    watch.run()
    advance(clock, 20.0)
    limit = discovery_watch.LONG_POLL_MS / 1000 + discovery_watch.RESPONSE_GRACE
    gaps = [b - a for a, b in zip(agent.calls, agent.calls[1:], strict=False)]
    assert len(gaps) >= 5 and max(gaps) <= limit + 0.25 + 0.11
    assert received == []
    assert agent.abandoned >= len(agent.calls) - 1  # otherwise each would leave an open connection


def test_a_pushed_list_is_asked_for_again_within_the_grace_of_a_drain():
    clock = Clock()
    watch = discovery_watch.DiscoveryWatch(
        clock, ("127.0.0.1", 1), settings(drain_grace=0.25), lambda _: None, HELD, random.Random(1)
    )
    calls = []

    def call():  # fails at once, as discovery is down
        calls.append(clock.seconds())
        done = Deferred()
        done.errback(discovery_watch.UnavailableError("down"))
        return done

    watch.call = call
    watch.run()
    for _ in range(2000):
        clock.advance(0.01)
    assert max(b - a for a, b in itertools.pairwise(calls)) <= 0.25


class FallsSilent(HeadersOnly):
    """An agent that answers each call after its wait, except the one pending at `silent_at`."""

    def __init__(self, clock, silent_at):
        super().__init__(clock, 0.0)
        self.silent_at = silent_at

    def request(self, method, url):
        self.calls.append(self.clock.seconds())
        done = Deferred()
        answer_at = self.clock.seconds() + discovery_watch.LONG_POLL_MS / 1000
        if answer_at < self.silent_at or self.calls[-1] > self.silent_at:
            self.clock.callLater(answer_at - self.clock.seconds(), done.callback, self)
        return done

    def deliverBody(self, protocol):
        protocol.makeConnection(self)
        protocol.dataReceived(b'{"revision":3,"complete":false,"members":[]}')
        protocol.connectionLost(Failure(ResponseDone()))


@pytest.mark.parametrize("silent_at", [0.5, 13.0, 13.9])
def test_a_watch_that_was_fine_for_long_and_falls_silent_is_opened_anew(silent_at):
    clock, received = Clock(), []
    watch = discovery_watch.DiscoveryWatch(
        clock, ("127.0.0.1", 1), settings(drain_grace=0.25), received.append, HELD, random.Random(1)
    )
    watch.agent = agent = FallsSilent(clock, silent_at)
    watch.run()
    advance(clock, 20.0)
    reopened_at = next(at for at in agent.calls if at > silent_at)
    assert reopened_at - silent_at <= 6.0  # by then a gateway counts as notified of a change
    assert len([at for at in agent.calls if at > reopened_at]) >= 1 and received
