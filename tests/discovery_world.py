"""A fake discovery for the watch's real HTTP client, in virtual time and without sockets.

During a fault, connections or responses fail in the way of the fault; before and after it, discovery works
correctly. Its only backend starts to drain at a given time.
"""

import json
import random

from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionDone, ConnectionLost, ConnectionRefusedError, TimeoutError
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from corkdeal.decisions.events import EndpointState
from corkdeal.net import discovery_watch
from corkdeal.net.discovery_snapshot import DiscoverySnapshot

from .helpers import settings

ADDRESS = ("127.0.0.1", 1)
HELD_SNAPSHOT = DiscoverySnapshot(41, True, (), {})
ONE_WAY = 0.001  # s of latency of a request or a connection attempt
BYTE_EVERY = 0.25  # s between the bytes of a slow response
QUEUE_TIME = 2.0  # s in the queue of an overloaded discovery before a call is rejected


class LongestPause(random.Random):
    """Always draws the longest possible pause."""

    def random(self):
        return 0.999999


class Connection:
    """The server side of a connection, and the transport of the client's protocol."""

    disconnecting = False

    def __init__(self, discovery, factory):
        self.discovery, self.clock = discovery, discovery.clock
        self.received, self.silent, self.ended = b"", False, False
        self.protocol = factory.buildProtocol(IPv4Address("TCP", *ADDRESS))
        self.protocol.makeConnection(self)

    def write(self, data):
        self.received += data
        while b"\r\n\r\n" in self.received:
            head, _, self.received = self.received.partition(b"\r\n\r\n")
            self.clock.callLater(ONE_WAY, self.discovery.request, self, head.split(b" ")[1].decode())

    def writeSequence(self, parts):
        self.write(b"".join(parts))

    def send(self, data):
        if not self.ended and not self.silent:
            self.protocol.dataReceived(data)

    def end(self, reason):
        if not self.ended:
            self.ended = True
            self.clock.callLater(0, self.protocol.connectionLost, Failure(reason()))

    def loseConnection(self):
        self.end(ConnectionDone)

    def abortConnection(self):
        self.end(ConnectionLost)

    def registerProducer(self, producer, streaming):
        pass

    def unregisterProducer(self):
        pass

    def pauseProducing(self):
        pass

    def resumeProducing(self):
        pass

    def stopProducing(self):
        self.loseConnection()

    def getPeer(self):
        return IPv4Address("TCP", *ADDRESS)

    getHost = getPeer


class Connector:
    """A connection attempt."""

    def __init__(self, discovery, factory, timeout):
        self.factory = factory
        factory.doStart()
        factory.startedConnecting(self)
        clock, fault = discovery.clock, discovery.active_fault()
        if fault == "refused":
            self.pending_call = clock.callLater(ONE_WAY, self.fail, ConnectionRefusedError)
        elif fault == "never comes up":
            self.pending_call = clock.callLater(timeout, self.fail, TimeoutError)
        else:
            self.pending_call = clock.callLater(ONE_WAY, discovery.accept, factory)

    def fail(self, reason):
        self.factory.clientConnectionFailed(self, Failure(reason()))

    def stopConnecting(self):
        if self.pending_call.active():
            self.pending_call.cancel()

    def getDestination(self):
        return IPv4Address("TCP", *ADDRESS)


class Discovery:
    """Responds according to the protocol, except for a fault from `begins` to `ends`."""

    def __init__(self, clock, fault, begins, ends, drains_at, restarted=False):
        self.clock, self.fault, self.begins, self.ends = clock, fault, begins, ends
        self.drains_at, self.restarted = drains_at, restarted
        self.connections, self.calls = [], []
        clock.connectTCP = self.connect
        if begins is not None:
            clock.callLater(begins, self.fault_begins)

    def active_fault(self):
        active = self.begins is not None and self.begins <= self.clock.seconds() < self.ends
        return self.fault if active else None

    def connect(self, host, port, factory, timeout=30, **_):
        self.calls.append(self.clock.seconds())
        return Connector(self, factory, timeout)

    def accept(self, factory):
        self.connections.append(Connection(self, factory))

    def fault_begins(self):
        """End or silence open connections if the fault is an outage; with faulty responses they stay up."""
        for connection in self.connections:
            if self.fault == "refused":
                connection.end(ConnectionLost)
            elif self.fault in ("never comes up", "silent", "watch falls silent"):
                connection.silent = True

    def revision(self):
        now = self.clock.seconds()
        first = 2 if self.restarted and now >= self.ends else HELD_SNAPSHOT.revision
        return first + (now >= self.drains_at)

    def body(self, complete):
        phase = "Terminating" if self.clock.seconds() >= self.drains_at else "Ready"
        member = {"id": "a", "host_port": "127.0.0.1:2", "phase": phase}
        return json.dumps({"revision": self.revision(), "complete": complete, "members": [member]}).encode()

    def request(self, connection, path):
        """Handle one call: a fault applies immediately, else the response waits for a change or a timeout."""
        if self.active_fault():
            return self.respond_with_fault(connection)
        query = dict(pair.split("=") for pair in path.partition("?")[2].split("&") if pair)
        wait = int(query.get("wait_ms", 0)) / 1000
        self.respond_when_due(connection, int(query.get("after", -1)), self.clock.seconds() + wait)

    def respond_when_due(self, connection, after, until):
        if connection.ended or connection.silent:
            return
        now = self.clock.seconds()
        if self.active_fault():
            self.respond_with_fault(connection)
        elif after < 0 or self.revision() != after:
            self.answer(connection, self.body(after < 0 or self.revision() < after))
        elif now >= until:
            self.answer(connection, b'{"revision":%d,"complete":false,"members":[]}' % after)
        else:
            upcoming = [at for at in (self.begins, self.ends, self.drains_at) if at is not None and at > now]
            wait = min([until, *upcoming]) - now
            self.clock.callLater(wait, self.respond_when_due, connection, after, until)

    def answer(self, connection, body, code=200, length=True):
        length_line = b"Content-Length: %d\r\n" % len(body) if length else b""
        connection.send(b"HTTP/1.1 %d Text\r\n%b\r\n%b" % (code, length_line, body))

    def respond_with_fault(self, connection):
        """Respond to one call in the way of the fault."""
        FAULTS[self.fault](self, connection)


HEAD_WITHOUT_BODY = b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"


def fall_silent(discovery, connection):
    connection.silent = True


def reset(discovery, connection):
    connection.end(ConnectionLost)


def trickle(discovery, connection, data):
    if data and not connection.ended:
        connection.send(data[:1])
        discovery.clock.callLater(BYTE_EVERY, trickle, discovery, connection, data[1:])


def send_head_only(discovery, connection):
    connection.send(HEAD_WITHOUT_BODY)


def trickle_body(discovery, connection):
    connection.send(HEAD_WITHOUT_BODY)
    trickle(discovery, connection, discovery.body(True) + b" " * 500)


def trickle_head(discovery, connection):
    trickle(discovery, connection, HEAD_WITHOUT_BODY)


def cut_off(discovery, connection):
    connection.send(HEAD_WITHOUT_BODY + discovery.body(True)[:-20])
    connection.end(ConnectionDone)


def cut_off_without_length(discovery, connection):
    discovery.answer(connection, discovery.body(True)[:-20], length=False)
    connection.end(ConnectionDone)


def reject_after_queueing(discovery, connection):
    discovery.clock.callLater(QUEUE_TIME, discovery.answer, connection, b"busy", 503)


def answer_late(discovery, connection):
    """Respond late, with the list as it was when the call arrived."""
    discovery.clock.callLater(1.5, discovery.answer, connection, discovery.body(True))


def respond_with(body, code=200):
    return lambda discovery, connection: discovery.answer(connection, body, code)


FAULTS = {
    "refused": reset,
    "never comes up": fall_silent,
    "silent": fall_silent,
    "watch falls silent": fall_silent,
    "reset": reset,
    "head without body": send_head_only,
    "body trickles": trickle_body,
    "head trickles": trickle_head,
    "list cut off": cut_off,
    "list without length cut off": cut_off_without_length,
    "HTTP 500": respond_with(b"down", 500),
    "HTTP 503 at once": respond_with(b"down", 503),
    "HTTP 503 after a line": reject_after_queueing,
    "no JSON": respond_with(b"<html></html>"),
    "wrong form": respond_with(b'{"revision":-1,"complete":true,"members":[]}'),
    "slow answer": answer_late,
}


class WatchHarness:
    """The watch of one gateway, and its discovery."""

    def __init__(self, pushed, gateways, rng=None, **script):
        self.clock = Clock()
        self.discovery = Discovery(self.clock, **script)
        self.settings = settings(is_endpoint_list_pushed=pushed, gateways=gateways, drain_grace=0.25)
        self.rng, self.notified_at, self.snapshots = rng or LongestPause(), None, []
        self.watch = self.start_watch(HELD_SNAPSHOT)

    def start_watch(self, held):
        watch = discovery_watch.DiscoveryWatch(
            self.clock, ADDRESS, self.settings, self.on_snapshot, held, self.rng
        )
        watch.run()
        return watch

    def reload(self):
        """Replace the watch, as the gateway does on SIGHUP."""
        self.watch.stop()
        self.watch = self.start_watch(None)

    def on_snapshot(self, snapshot):
        self.snapshots.append(snapshot)
        if self.notified_at is None and any(e.state is EndpointState.DRAINING for e in snapshot.entries):
            self.notified_at = self.clock.seconds()

    def run_until(self, end, until_notified=False):
        """Advance from event to event until `end`, or until the drain is reported if `until_notified`."""
        while not (until_notified and self.notified_at is not None):
            upcoming = min((c.getTime() for c in self.clock.getDelayedCalls()), default=end)
            self.clock.advance(max(0.0, min(upcoming, end) - self.clock.seconds()))
            if self.clock.seconds() >= end:
                return
