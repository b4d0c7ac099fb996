"""Idle clients fill the table of descriptors, and all else that needs one still gets it: on the real program.

The kernel lets the program open no more than `limits.sockets`, so one too many is an error that shows.
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

from corkdeal.net.resp import command

from .net_world import PATIENCE, World, served
from .ports import reserve_address
from .test_net_moments import Moments

SOCKETS = 192
PING = command(b"PING")
PING_EVERY = 0.8  # s; an idle connection may be closed after 2 s
BACKENDS = 40


class Crowd:
    """More clients than the table holds; each rests between PINGs and comes again when it is closed."""

    def __init__(self, address, pid):
        self.address, self.pid = address, pid
        self.ended = threading.Event()
        self.turned_over = threading.Event()  # the table is full: many had to go for others
        self.answers = collections.Counter()
        self.most_descriptors = 0
        self.selector = selectors.DefaultSelector()
        self.due = {}  # by socket, when it sends its next PING
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.ended.is_set():
            self.most_descriptors = max(self.most_descriptors, self.descriptors())
            if len(self.due) < SOCKETS + 20:
                self.connect()
            for key, _ in self.selector.select(0.002):
                self.read(key.fileobj)
            now = time.monotonic()
            for sock in [s for s, at in self.due.items() if at <= now]:
                self.ping(sock, now)
        for sock in list(self.due):
            self.close(sock)
        self.selector.close()

    def descriptors(self):
        with contextlib.suppress(OSError):  # it has ended
            return len(os.listdir(f"/proc/{self.pid}/fd"))
        return 0

    def connect(self):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(self.address)
        self.selector.register(sock, selectors.EVENT_READ)
        self.due[sock] = time.monotonic() + 0.05

    def ping(self, sock, now):
        self.due[sock] = now + PING_EVERY
        try:
            sock.send(PING)
        except OSError:
            self.close(sock)

    def read(self, sock):
        try:
            data = sock.recv(4096)
        except OSError:
            data = b""
        self.answers[data[:5]] += 1
        if not data.startswith(b"+PONG"):
            self.close(sock)
            if self.answers[b""] + self.answers[b"-ERR "] > 60:
                self.turned_over.set()

    def close(self, sock):
        self.selector.unregister(sock)
        del self.due[sock]
        sock.close()

    def end(self):
        self.ended.set()
        self.thread.join(PATIENCE)


class FullTable(Moments):
    build = ("-O",)

    def run_program(self):
        super().run_program()
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))

    def start_full(self, config=None, **more):
        """Start, and have a crowd fill the table."""
        self.ops = reserve_address()
        self.start(config={"limits": {"sockets": SOCKETS}, "ops": self.ops, **(config or {})}, **more)
        host, port = self.config["listen"].split(":")
        self.crowd = Crowd((host, int(port)), self.process.pid)
        self.addCleanup(self.crowd.end)
        self.assertTrue(self.crowd.turned_over.wait(PATIENCE))

    def admitted(self, requests):
        """A client that is let in with these requests; another one's place may not be free at once.

        They come together with its PING, for one that has asked nothing yet can go for another.
        """
        until = time.monotonic() + PATIENCE
        while time.monotonic() < until:
            client = self.client()
            with contextlib.suppress(OSError):
                client.send(PING + requests)
                if client.read() == [b"PONG"]:
                    return client
        self.fail("refused for all the time")

    def request(self, rid):
        """A request of a customer of its own."""
        return command(*self.words(b"look", d=4000, rid=rid, customer=rid + 10))

    def figures(self):
        host, port = self.ops.split(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=PATIENCE)
        self.addCleanup(conn.close)
        conn.request("GET", "/status/metrics")
        return json.loads(conn.getresponse().read())

    def answer_all(self, world, seen):
        """Answer what reaches that world's backends, and note which ones it reached."""

        def run():
            while (asked := world.asked.get()) is not None:
                seen.add(asked.backend.name)
                with contextlib.suppress(OSError):  # given up meanwhile, and tried elsewhere
                    asked.conn.send(served())

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, PATIENCE)
        self.addCleanup(world.asked.put, None)

    def test_discovery_returns_with_many_new_backends_and_each_gets_requests(self):
        discovery = reserve_address()
        self.world.add("old")
        known = {"revision": 1, "complete": True, "members": [self.world.backends["old"].entry]}
        self.start_full(config={"discovery": discovery}, known=known)
        back = World(int(discovery.rpartition(":")[2]))
        self.addCleanup(back.close)
        back.revision = 2
        seen, rid, until = set(), 0, time.monotonic() + PATIENCE
        self.answer_all(back, seen)
        self.answer_all(self.world, set())
        with back.changed:
            for number in range(BACKENDS):
                back.add(f"new{number}")
        while len(seen) < BACKENDS and time.monotonic() < until:
            rids = range(rid, rid + 30)
            rid += 30
            client = self.admitted(b"".join(self.request(each) for each in rids))
            for _ in rids:
                self.assertIsNotNone(client.read())
        self.assertEqual(len(seen), BACKENDS)
        self.assertEqual(self.figures()["app_hosts_listed"], BACKENDS)
        self.assertLess(self.crowd.most_descriptors, SOCKETS)

    def test_a_burst_of_new_connections_in_one_turn(self):
        self.start_full(a={})
        self.crowd.end()
        self.crowd = None
        clients = [self.client() for _ in range(SOCKETS)]  # a table full of those who rest
        deadline = time.monotonic() + 0.4  # so long that each of them may go for another
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
            self.assertIsNotNone(answer)  # closed with no answer: none was left to accept it with
        self.assertEqual(self.figures()["app_hosts_listed"], 1)

    def test_the_operators_and_the_peers_are_heard(self):
        self.start_full(a={})
        self.assertEqual(self.figures()["app_hosts_listed"], 1)
        self.admitted(self.request(1).replace(b"spread=1", b"spread=2"))  # a customer of both gateways
        self.assertTrue(self.peer.recv(2048))  # the peer hears of what was asked
        self.assertLess(self.crowd.most_descriptors, SOCKETS)

    def test_a_planned_end_answers_all_and_ends_well(self):
        self.start_full(a={}, b={}, c={}, d={})
        client = self.admitted(b"".join(map(self.request, range(4))))
        asked = [self.world.next() for _ in range(4)]
        self.process.send_signal(signal.SIGTERM)
        self.line("draining")
        for each in asked:
            each.conn.send(served())
        for _ in range(4):
            self.assertEqual(client.read(), [b"v"])
        self.assertIsNone(client.read())
        self.assertEqual(self.process.wait(PATIENCE), 0)
        self.assertLess(self.crowd.most_descriptors, SOCKETS)


if __name__ == "__main__":
    unittest.main()
