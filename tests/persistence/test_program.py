"""The real program with snapshots enabled: kills, restarts, a locked or removed folder, changed options."""

import contextlib
import json
import os
import pathlib
import queue
import random
import signal
import threading
import time

from corkdeal.persistence.codec import decode_account, decode_snapshot
from corkdeal.persistence.store import SnapshotStore, match_snapshot_name

from ..net_world import WAIT_TIMEOUT, Program, served

KILLS = 24


class WithSnapshots(Program):
    build = ("-O",)

    def begin(self, **more):
        self.state = pathlib.Path(self.folder.name, "state")
        options = f'knowledge path="{self.state}" every=0.1 read-wait=10 stop-wait=10\n'
        self.start(options=options, **more)

    def logged_line(self, text):
        return next(line for line in reversed(self.lines) if text in line)

    def restart(self):
        self.process.wait(WAIT_TIMEOUT)
        self.process.stdout.close()
        self.lines.clear()
        self.run_program()
        self.line("serving ")

    def send_request(self, client, rid, customer=1, **more):
        """Send one request of a customer; customer 1 has a bucket of two units."""
        self.ask(client, customer=customer, rid=rid, **more)

    def files(self):
        return sorted(p.name for p in (self.state / "n0").glob("*.know"))[-1:]

    def wait_until(self, condition):
        for _ in range(int(WAIT_TIMEOUT / 0.01)):
            if condition():
                return
            time.sleep(0.01)
        self.fail("the condition was not met in time")

    def newest(self):
        store = SnapshotStore(str(self.state / "n0"))
        store.open()
        loaded = store.load()
        store.close()
        return loaded

    def test_a_spent_bucket_is_spent_after_a_planned_end_and_after_a_kill(self):
        self.begin(a={})
        client = self.client()
        for rid in range(2):
            self.send_request(client, rid)
            self.world.next().conn.send(served())
            self.assertEqual(client.read(), [b"v"])
        for rid, stop_signal in enumerate((signal.SIGTERM, signal.SIGKILL), 10):
            if stop_signal is signal.SIGKILL:  # kill only after a snapshot was written since the start
                before = self.files()
                self.wait_until(lambda before=before: self.files() > before)
            self.process.send_signal(stop_signal)
            self.restart()
            self.assertIn("accounts=1", self.logged_line("knowledge_loaded"))
            self.assertIn("resumes=True", self.logged_line("knowledge_loaded"))
            client = self.client()
            self.send_request(client, rid)
            self.assertTrue(client.read()[0].startswith(b"BUSY"))
        self.assertTrue(self.world.asked.empty())

    def test_kills_at_random_moments_never_leave_a_file_that_is_not_whole(self):
        self.begin(a={}, b={})
        rng, stop = random.Random(7), threading.Event()

        def reply_to_requests():
            while not stop.is_set():
                with contextlib.suppress(queue.Empty, OSError, AttributeError):
                    self.world.asked.get(timeout=0.1).conn.send(served())

        threading.Thread(target=reply_to_requests, daemon=True).start()
        last_generation, rid = 0, 0
        for _ in range(KILLS):
            client = self.client()
            for _ in range(rng.randrange(1, 40)):
                rid += 1
                self.send_request(client, rid, customer=2 + rid % 50)
                self.assertIsNotNone(client.read())
            killer = threading.Timer(rng.uniform(0, 0.25), self.process.kill)
            killer.start()
            killer.join()
            self.process.wait(WAIT_TIMEOUT)
            loaded = self.newest()
            self.assertEqual(loaded.rejected, [])
            if loaded.snapshot is not None:
                generation = int(match_snapshot_name(loaded.file)[1])
                self.assertGreaterEqual(generation, last_generation)
                last_generation = generation
                for raw in loaded.snapshot.encoded_accounts().values():
                    decode_account(raw)
            self.restart()
            self.assertNotIn("knowledge_refused", "".join(self.lines))
        stop.set()
        self.assertGreater(last_generation, 0)

    def test_two_processes_of_one_name_then_a_rejected_reload_and_one_that_disables_snapshots(self):
        self.begin(a={})
        self.assertIn("folder=", self.logged_line("knowledge_none"))
        first, self.lines = self.process, []
        other = dict(self.config, listen="127.0.0.1:0", peer_listen=None, peers=[])
        other["listen"] = self.config["listen"].replace("127.0.0.1", "127.0.0.2")
        path = pathlib.Path(self.folder.name, "other.json")
        path.write_text(json.dumps(other))
        self.env["RELAY_CONFIG"] = str(path)
        self.run_program()
        self.addCleanup(first.stdout.close)
        self.addCleanup(first.wait)
        self.addCleanup(first.kill)
        self.line("knowledge_locked")
        self.line("serving ")
        self.options.write_text("knowledge every=0\n")
        self.process.send_signal(signal.SIGHUP)
        self.assertIn("knowledge.every: must lie between", self.line("reload_refused"))
        self.options.write_text("")
        self.process.send_signal(signal.SIGHUP)
        self.assertIn("changed=knowledge", self.line("options_reloaded"))
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(WAIT_TIMEOUT), 0)

    def test_a_removed_folder_is_created_again_and_a_file_in_its_place_is_logged_once(self):
        self.begin(a={})
        home = self.state / "n0"
        self.wait_until(self.files)
        os.rename(self.state, self.state.with_name("away"))
        self.wait_until(self.files)
        os.rename(self.state, self.state.with_name("away2"))
        self.state.write_bytes(b"")
        self.line("knowledge_failing")
        client = self.client()
        self.send_request(client, 1, customer=2)
        self.world.next().conn.send(served())
        self.assertEqual(client.read(), [b"v"])
        self.state.unlink()
        self.line("knowledge_healed")
        decode_snapshot(max(home.glob("*.know")).read_bytes())
