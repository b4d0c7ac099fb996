"""Race conditions, forced on real connections: a signal or bytes that arrive between two steps of a gateway.

A gateway that is stopped by SIGSTOP while it waits for events handles all that arrived meanwhile in one
reactor iteration: overdue timers first, then the connections in the order in which they became ready. So each
critical order is reproduced in every run.
"""

import copy
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import unittest

from corkdeal.net.resp import encode_command
from corkdeal.persistence import handover_files, store

from .net_world import ROOT, SETTINGS, WAIT_TIMEOUT, ControlledProgram, FakeServices, served

GONE = b"ERR failed"


class Shutdown(ControlledProgram):
    """A shutdown loses no request that arrived, and ends before the process would be killed."""

    def test_connections_that_wait_in_the_kernel_are_served(self):
        self.start(a={})
        self.process.send_signal(signal.SIGTERM)
        self.line("draining")
        self.freeze()
        stopped = time.monotonic()
        clients = [self.client() for _ in range(4)]
        for rid, client in enumerate(clients):
            self.ask(client, rid=rid)
        self.thaw(after=0.6, since=stopped)  # the timer that closes the port expires first
        for _ in clients:
            self.world.next().conn.send(served())
        for client in clients:
            self.assertEqual(client.read(), [b"v"])
        self.assertEqual(self.process.wait(WAIT_TIMEOUT), 0)

    def test_a_request_in_the_reactor_iteration_of_the_last_answer_is_served(self):
        self.start(a={})
        client, idle = self.client(), self.client()
        idle.send(encode_command(b"PING"))
        self.assertEqual(idle.read(), [b"PONG"])
        self.ask(client, d=4000)
        asked = self.world.next()
        self.process.send_signal(signal.SIGTERM)
        self.assertIsNone(idle.read())  # idle, so closed; the other connection will be closed when it is idle
        self.freeze()
        asked.conn.send(served(b"first"))
        self.ask(client, rid=2)
        self.thaw()
        self.assertEqual(client.read(), [b"first"])
        self.world.next().conn.send(served(b"second"))
        self.assertEqual(client.read(), [b"second"])
        self.assertIsNone(client.read())
        self.assertEqual(self.process.wait(WAIT_TIMEOUT), 0)

    def test_what_is_still_open_is_answered_before_the_kill(self):
        settings = copy.deepcopy(SETTINGS)
        for request_class in settings["classes"]:
            request_class.update(aim_us=600_000, deadline_us=600_000)  # so SIGKILL is due 1.3 s after SIGTERM
        self.start(config={"settings": settings}, a={}, b={}, c={}, d={})
        client, waiting, idle = self.client(), self.client(), self.client()
        idle.send(encode_command(b"PING"))
        self.assertEqual(idle.read(), [b"PONG"])
        self.ask(client, b"pay", d=80000, body=b"x")
        self.ask(waiting, b"pay", d=80000, rid=2, body=b"y")
        first, second = self.world.next(), self.world.next()  # neither is answered
        self.process.send_signal(signal.SIGTERM)
        self.line("draining")
        self.assertIsNone(idle.read())
        self.ask(client, b"pay", d=80000, rid=3, body=b"z")  # on a connection that is still open
        third = self.world.next()
        self.assertLess(int(third.params[b"d"]), 1300)  # less than its client asked for
        self.assertEqual(client.read(), [GONE])
        self.assertEqual(client.read(), [GONE])
        self.assertEqual(waiting.read(), [GONE])
        self.assertEqual(self.process.wait(WAIT_TIMEOUT), 0)
        self.assertTrue(all(asked.ended.wait(WAIT_TIMEOUT) for asked in (first, second, third)))

    def test_signals_that_come_twice_or_late_change_nothing(self):
        self.start(a={})
        client = self.client()
        self.ask(client, d=4000)
        asked = self.world.next()
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.process.send_signal(number)
        self.line("reloaded")
        asked.conn.send(served())
        self.assertEqual(client.read(), [b"v"])
        self.assertEqual(self.process.wait(WAIT_TIMEOUT), 0)


class EarlyReload(ControlledProgram):
    """SIGHUP arrives before the gateway object exists."""

    def run_program(self):
        """Start it with its configuration in a pipe; change the file and send SIGHUP while it reads that."""
        self.other = FakeServices()
        self.addCleanup(self.other.close)
        first = self.path.read_text()
        self.path.unlink()
        os.mkfifo(self.path)
        super().run_program()
        with open(self.path, "w") as pipe:  # returns once the gateway opens its end
            pipe.write(first)
            pipe.flush()
            self.path.unlink()
            self.config["discovery"] = f"127.0.0.1:{self.other.http.server_port}"
            self.path.write_text(json.dumps(self.config))  # for the reload
            self.process.send_signal(signal.SIGHUP)
            self.wait_until_delivered(signal.SIGHUP)

    def wait_until_delivered(self, number):
        """Wait until the signal is no longer pending: it was delivered, or the process ignores it."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status")
        while True:
            masks = dict(line.split(":\t") for line in status.read_text().splitlines() if ":\t" in line)
            if not any(int(masks[name], 16) >> (number - 1) & 1 for name in ("SigPnd", "ShdPnd")):
                return
            time.sleep(0.001)

    def test_the_reload_is_carried_out_once_the_gateway_exists(self):
        self.start(a={})
        self.seen("reloaded")
        self.assertIsNotNone(self.other.calls.get(timeout=WAIT_TIMEOUT))


SIGNALS_DURING_FINALIZATION = """
import os, runpy, signal, sys

class SignalSender:
    def __del__(self, kill=os.kill, pid=os.getpid(), numbers=(signal.SIGHUP, signal.SIGTERM, signal.SIGINT)):
        for number in numbers:
            kill(pid, number)

sys.signal_sender = SignalSender()  # deleted after the interpreter has reset its signal handlers
runpy.run_module("corkdeal.net", run_name="__main__", alter_sys=True)
"""


class SignalsAtTheEnd(ControlledProgram):
    """Signals arrive while the interpreter ends, after the gateway has."""

    build = ("-O",)

    def run_program(self):
        self.process = subprocess.Popen(
            [sys.executable, *self.build, "-c", SIGNALS_DURING_FINALIZATION],
            cwd=ROOT,
            env=self.env,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )

    # A reload or a second SIGTERM in that moment made the exit look like a crash.
    def test_they_do_not_change_the_exit_code(self):
        self.start(a={})
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(WAIT_TIMEOUT), 0)


class DeployCommand(unittest.TestCase):
    """The shell command with which deploy/balancer.toml starts the gateway."""

    def test_a_reload_asked_for_before_python_runs_ends_nothing(self):
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with tempfile.TemporaryDirectory() as folder:
            stub = pathlib.Path(folder, "env")  # first in PATH, so `run` executes it, not the gateway
            stub.write_text("#!/bin/sh\nkill -HUP $$\necho lives\n")
            stub.chmod(0o755)
            done = subprocess.run(
                ["/bin/sh", "-c", run],
                capture_output=True,
                text=True,
                timeout=WAIT_TIMEOUT,
                cwd=ROOT,
                env={"PATH": f"{folder}:/usr/bin:/bin"},
            )
        self.assertEqual((done.returncode, done.stdout), (0, "lives\n"))


class ReloadDuringHandoverWait(ControlledProgram):
    """SIGHUP arrives while a successor waits for a handover that its predecessor never makes."""

    build = ("-O",)

    def run_program(self):
        """Hold a predecessor's lock, and send the signal while the gateway waits for the handover."""
        folder = store.gateway_folder(os.path.join(self.folder.name, "corkdeal-lives"), "n0")
        self.handover_files = handover_files.HandoverFiles(folder)
        self.handover_files.join()
        self.addCleanup(self.handover_files.close)
        super().run_program()
        while self.handover_files.successor() is None:  # until it waits for the handover
            time.sleep(0.001)
        self.freeze()
        self.process.send_signal(signal.SIGHUP)
        self.process.send_signal(signal.SIGCONT)
        self.line("reloaded")

    def test_one_watch_runs_and_an_old_list_does_not_come_after_a_new_one(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        self.fds = (listener.fileno(),)
        self.more_env = {"RELAY_INHERITED_FD": str(listener.fileno())}
        for name in "ab":
            self.world.add(name)
        known = {"revision": 1, "complete": True, "members": [dict(self.world.backends["a"].entry)]}
        self.world.backends["a"].entry["phase"] = "Terminating"
        self.world.revision = 2
        self.start(known=known, config={"listen": f"127.0.0.1:{listener.getsockname()[1]}"})
        self.seen("handover_none")  # it has started without a handover
        client = self.client()
        for rid in range(4):
            self.ask(client, rid=rid)
            asked = self.world.next()
            self.assertEqual(asked.backend.name, "b")
            asked.conn.send(served())
            self.assertEqual(client.read(), [b"v"])


class UnreadBytes(ControlledProgram):
    """A client connection with unread bytes is not closed as idle."""

    def open_clients(self, count, send_ping):
        """Open client connections; with `send_ping`, each has sent a PING, otherwise nothing."""
        clients = [self.client() for _ in range(count)]
        for client in clients if send_ping else ():
            client.send(encode_command(b"PING"))
            self.assertEqual(client.read(), [b"PONG"])
        return clients

    def test_a_silent_client_connection_whose_first_command_has_come(self):
        self.start(a={})
        probe = self.client()
        clients = self.open_clients(
            40, send_ping=False
        )  # enough to shorten the timeout of silent connections
        probe.send(encode_command(b"PING"))
        self.assertEqual(probe.read(), [b"PONG"])
        self.freeze()
        stopped = time.monotonic()
        for client in clients:
            client.send(encode_command(b"PING"))
        self.thaw(after=0.4, since=stopped)
        for client in clients:
            self.assertEqual(client.read(), [b"PONG"])

    def test_the_rest_of_a_command_that_has_come(self):
        self.start(a={})
        client, ping = self.client(), encode_command(b"PING")
        client.send(encode_command(b"PING") + ping[:9])
        self.assertEqual(client.read(), [b"PONG"])
        self.freeze()
        stopped = time.monotonic()
        client.send(ping[9:])
        self.thaw(after=2.7, since=stopped)
        self.assertEqual(client.read(), [b"PONG"])

    def test_one_that_would_be_closed_for_another(self):
        self.start(config={"limits": {"sockets": 33}}, a={})
        clients = self.open_clients(8, send_ping=True)  # all that may be open beside one backend connection
        self.freeze()
        stopped = time.monotonic()
        other = self.client()  # needs an idle connection to be closed
        clients[0].send(encode_command(b"ECHO", b"still here"))  # idle for longest, but with unread bytes
        self.thaw(after=0.4, since=stopped)
        self.assertEqual(clients[0].read(), [b"still here"])
        self.assertIsNone(clients[1].read())
        other.send(encode_command(b"PING"))
        self.assertEqual(other.read(), [b"PONG"])


class ReleaseShutdown(Shutdown):
    build = ("-O",)


if __name__ == "__main__":
    unittest.main()
