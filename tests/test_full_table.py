"""With the descriptor table full of idle clients, whatever needs a descriptor still gets one.

These tests run the real gateway. RLIMIT_NOFILE is set to `limits.sockets`, so that opening one descriptor too
many is an error.
"""

import collections
import contextlib
import http.client
import json
import os
import resource
import selectors
import signal
import socket
import threading
import time
import unittest

from corkdeal.net.resp import encode_command

from .net_world import WAIT_TIMEOUT, FakeServices, served
from .ports import reserve_address
from .test_net_races import ControlledProgram

SOCKETS = 192
PING = encode_command(b"PING")
PING_EVERY = 0.8  # s; an idle connection may be closed after 2 s
BACKENDS = 40


class Crowd:
    """More clients than there are descriptors; each sends PINGs and reconnects when it is closed."""

    def __init__(self, address, pid):
        self.address, self.pid = address, pid
        self.ended = threading.Event()
        self.table_filled = threading.Event()  # the table is full: many connections were evicted
        self.replies = collections.Counter()
        self.most_descriptors = 0
        self.selector = selectors.DefaultSelector()
        self.next_ping_at = {}  # by socket, when it sends its next PING
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.ended.is_set():
            self.most_descriptors = max(self.most_descriptors, self.descriptors())
            if len(self.next_ping_at) < SOCKETS + 20:
                self.connect()
            for key, _ in self.selector.select(0.002):
                self.read(key.fileobj)
            now = time.monotonic()
            for sock in [s for s, at in self.next_ping_at.items() if at <= now]:
                self.ping(sock, now)
        for sock in list(self.next_ping_at):
            self.close(sock)
        self.selector.close()

    def descriptors(self):
        with contextlib.suppress(OSError):  # the process has ended
            return len(os.listdir(f"/proc/{self.pid}/fd"))
        return 0

    def connect(self):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(self.address)
        self.selector.register(sock, selectors.EVENT_READ)
        self.next_ping_at[sock] = time.monotonic() + 0.05

    def ping(self, sock, now):
        self.next_ping_at[sock] = now + PING_EVERY
        try:
            sock.send(PING)
        except OSError:
            self.close(sock)

    def read(self, sock):
        try:
            data = sock.recv(4096)
        except OSError:
            data = b""
        self.replies[data[:5]] += 1
        if not data.startswith(b"+PONG"):
            self.close(sock)
            if self.replies[b""] + self.replies[b"-ERR "] > 60:
                self.table_filled.set()

    def close(self, sock):
        self.selector.unregister(sock)
        del self.next_ping_at[sock]
        sock.close()

    def end(self):
        self.ended.set()
        self.thread.join(WAIT_TIMEOUT)


class FullTable(ControlledProgram):
    build = ("-O",)

    def run_program(self):
        super().run_program()
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))

    def start_full(self, config=None, **more):
        """Start the gateway and wait until a crowd of clients fills its descriptor table."""
        self.ops = reserve_address()
        self.start(config={"limits": {"sockets": SOCKETS}, "ops": self.ops, **(config or {})}, **more)
        host, port = self.config["listen"].split(":")
        self.crowd = Crowd((host, int(port)), self.process.pid)
        self.addCleanup(self.crowd.end)
        self.assertTrue(self.crowd.table_filled.wait(WAIT_TIMEOUT))

    def admitted(self, requests):
        """Return a client that was accepted and has sent these requests; retry while no descriptor is free.

        The requests are sent together with the PING, since a client without a request can be evicted.
        """
        deadline = time.monotonic() + WAIT_TIMEOUT
        while time.monotonic() < deadline:
            client = self.client()
            with contextlib.suppress(OSError):
                client.send(PING + requests)
                if client.read() == [b"PONG"]:
                    return client
        self.fail("no client was accepted before the timeout")

    def request(self, rid):
        """Return a request with a customer of its own."""
        return encode_command(*self.words(b"look", d=4000, rid=rid, customer=rid + 10))

    def metrics(self):
        host, port = self.ops.split(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=WAIT_TIMEOUT)
        self.addCleanup(conn.close)
        conn.request("GET", "/status/metrics")
        return json.loads(conn.getresponse().read())

    def answer_all(self, world, seen):
        """Answer all requests at the backends of `world`, and add the backends' names to `seen`."""

        def run():
            while (asked := world.asked.get()) is not None:
                seen.add(asked.backend.name)
                with contextlib.suppress(OSError):  # abandoned meanwhile, and retried elsewhere
                    asked.conn.send(served())

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, WAIT_TIMEOUT)
        self.addCleanup(world.asked.put, None)

    def test_discovery_returns_with_many_new_backends_and_each_gets_requests(self):
        discovery = reserve_address()
        self.world.add("old")
        known = {"revision": 1, "complete": True, "members": [self.world.backends["old"].entry]}
        self.start_full(config={"discovery": discovery}, known=known)
        new_services = FakeServices(int(discovery.rpartition(":")[2]))
        self.addCleanup(new_services.close)
        new_services.revision = 2
        seen, rid, deadline = set(), 0, time.monotonic() + WAIT_TIMEOUT
        self.answer_all(new_services, seen)
        self.answer_all(self.world, set())
        with new_services.changed:
            for number in range(BACKENDS):
                new_services.add(f"new{number}")
        while len(seen) < BACKENDS and time.monotonic() < deadline:
            rids = range(rid, rid + 30)
            rid += 30
            client = self.admitted(b"".join(self.request(request_id) for request_id in rids))
            for _ in rids:
                self.assertIsNotNone(client.read())
        self.assertEqual(len(seen), BACKENDS)
        self.assertEqual(self.metrics()["app_hosts_listed"], BACKENDS)
        self.assertLess(self.crowd.most_descriptors, SOCKETS)

    def test_a_burst_of_new_connections_in_one_reactor_iteration(self):
        self.start_full(a={})
        self.crowd.end()
        self.crowd = None
        clients = [self.client() for _ in range(SOCKETS)]  # a table full of idle clients
        deadline = time.monotonic() + 0.4  # by then each of them may be evicted
        for client in clients:
            with contextlib.suppress(OSError):
                client.send(PING)
        time.sleep(max(0.0, deadline - time.monotonic()))
        self.freeze()
        burst = [self.client() for _ in range(100)]
        self.thaw()
        for client in burst:
            client.send(PING)
        for client in burst:
            answer = client.read()
            self.assertIsNotNone(answer)  # None: closed without a reply, for lack of a descriptor
        self.assertEqual(self.metrics()["app_hosts_listed"], 1)

    def test_operators_and_peers_are_served(self):
        self.start_full(a={})
        self.assertEqual(self.metrics()["app_hosts_listed"], 1)
        self.admitted(self.request(1).replace(b"spread=1", b"spread=2"))  # a customer at both gateways
        self.assertTrue(self.peer.recv(2048))  # the peer is notified of its demand
        self.assertLess(self.crowd.most_descriptors, SOCKETS)

    def test_a_planned_end_answers_all_and_ends_well(self):
        self.start_full(a={}, b={}, c={}, d={})
        client = self.admitted(b"".join(map(self.request, range(4))))
        asked = [self.world.next() for _ in range(4)]
        self.process.send_signal(signal.SIGTERM)
        self.line("draining")
        for request in asked:
            request.conn.send(served())
        for _ in range(4):
            self.assertEqual(client.read(), [b"v"])
        self.assertIsNone(client.read())
        self.assertEqual(self.process.wait(WAIT_TIMEOUT), 0)
        self.assertLess(self.crowd.most_descriptors, SOCKETS)


if __name__ == "__main__":
    unittest.main()
