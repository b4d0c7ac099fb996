"""Startup by the deploy file's command: what it does before it serves, and starts in adverse conditions."""

import json
import os
import pathlib
import shutil
import subprocess
import sys
import tomllib

from corkdeal.standin.fleet import set_disk_full
from tests.net_world import ROOT, WAIT_TIMEOUT, Program
from tests.ports import reserve_address

PROBE = ROOT / "tests" / "start_probe"
NOT_BEFORE_FIRST_ANSWER = (  # packages and modules that must not be loaded before the first answer
    *("blake3", "click", "msgspec", "netaddr", "numpy", "radix", "structlog", "zstandard"),
    *("twisted.web.resource", "twisted.web.server", "twisted.web.static"),
    *("corkdeal.cli", "corkdeal.emulator", "corkdeal.experiment", "corkdeal.zones", "corkdeal.persistence"),
    *(
        "corkdeal.decisions.persisted_state",
        "corkdeal.net.ops",
        "corkdeal.net.upgrade",
        "corkdeal.standin",
    ),
)


class Start(Program):
    """Runs the deploy file's `run` command in a copy of the source tree."""

    is_built = True
    has_library_bytecode = True
    disk_full = False

    def setUp(self):
        super().setUp()
        self.tree = pathlib.Path(self.folder.name, "tree")
        self.tree.mkdir()
        unbuilt = shutil.ignore_patterns("__pycache__")
        for name in ("corkdeal", "deploy"):
            shutil.copytree(ROOT / name, self.tree / name, ignore=unbuilt)
        for name in ("Makefile", "requirements.txt"):
            shutil.copy2(ROOT / name, self.tree)
        (self.tree / ".venv").symlink_to(sys.prefix)
        if self.is_built:
            self.make_build()

    def make_build(self):
        """Run `make build` with the existing virtual environment."""
        done = subprocess.run(
            ["make", "-s", "-o", ".venv/built", "build"],
            cwd=self.tree,
            capture_output=True,
            text=True,
            timeout=WAIT_TIMEOUT,
        )
        self.assertEqual(done.returncode, 0, done.stderr)

    def change_source_times(self):
        """Change the modification time of all sources, as a copy without timestamps does."""
        for source in self.tree.glob("corkdeal/**/*.py"):
            os.utime(source, (1, 1))

    def block_bytecode(self):
        """Put a file where each `__pycache__` would be, so that no bytecode can be written, even by root."""
        for folder in {source.parent for source in self.tree.glob("corkdeal/**/*.py")}:
            (folder / "__pycache__").touch()

    def run_program(self):
        run = tomllib.loads((self.tree / "deploy" / "balancer.toml").read_text())["run"]
        unwritable = {} if self.has_library_bytecode else {"PYTHONPYCACHEPREFIX": "/dev/null/none"}
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=self.tree,
            env={
                "PATH": "/usr/bin:/bin",
                "PYTHONPATH": str(PROBE),
                "START_LISTEN": self.config["listen"],
                **unwritable,
                **self.env,
            },
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            preexec_fn=lambda: set_disk_full(0, True) if self.disk_full else None,
        )

    def start_and_report(self):
        """Start it and wait for its first answer; returns what the startup probe reported."""
        self.start(config={"listen": reserve_address()}, a={})
        client = self.client()
        client.send(b"*1\r\n$4\r\nPING\r\n")
        self.assertEqual(client.read(), [b"PONG"])
        report = [line for line in self.lines if line.startswith("start_probe ")]
        self.assertEqual(len(report), 1, self.lines)
        return json.loads(report[0].removeprefix("start_probe "))

    def compiled_sources(self, report):
        """The package's sources that this start compiled."""
        return [name for name in report["compiled"] if name.startswith(str(self.tree / "corkdeal"))]


class Built(Start):
    """A start after `make build`."""

    def test_what_the_first_answer_does_not_need_is_not_loaded_before_it(self):
        report = self.start_and_report()
        self.assertIn("corkdeal.net.recovery", report["modules"])  # enabled by `run`
        late = [
            m
            for m in report["modules"]
            if any(m == name or m.startswith(name + ".") for name in NOT_BEFORE_FIRST_ANSWER)
        ]
        self.assertEqual(late, [])

    def test_no_time_is_spent_on_looking_for_garbage_before_the_first_answer(self):
        self.assertEqual(self.start_and_report()["collected"], [])

    def test_nothing_of_it_is_compiled(self):
        self.assertEqual(self.compiled_sources(self.start_and_report()), [])

    def test_a_copy_that_lost_the_times_of_its_files_is_not_compiled_again(self):
        self.change_source_times()
        self.assertEqual(self.compiled_sources(self.start_and_report()), [])

    def test_a_source_that_was_changed_after_the_build_is_what_runs(self):
        source = self.tree / "corkdeal" / "net" / "__init__.py"
        source.write_text(source.read_text() + "\nimport colorsys\n")
        report = self.start_and_report()
        self.assertIn("colorsys", report["modules"])
        self.assertEqual(self.compiled_sources(report), [str(source)])


class ReadOnly(Start):
    """A start without compiled bytecode, which can't be written either."""

    is_built = False

    def test_it_becomes_ready(self):
        self.block_bytecode()
        self.assertTrue(self.compiled_sources(self.start_and_report()))


class WithoutBytecode(Start):
    """A start without bytecode of the package and its libraries; none can be written."""

    is_built = False
    has_library_bytecode = False

    def test_it_becomes_ready(self):
        report = self.start_and_report()
        self.assertTrue(self.compiled_sources(report))
        self.assertTrue([name for name in report["compiled"] if "/twisted/" in name])


class FullDisk(Start):
    """A start on a full disk, without compiled bytecode."""

    is_built = False
    disk_full = True

    def test_it_becomes_ready(self):
        self.assertTrue(self.compiled_sources(self.start_and_report()))
        self.assertEqual([*self.tree.glob("corkdeal/**/*.pyc")], [])


class FullDiskBuilt(Start):
    """A start after `make build`, on a full disk."""

    disk_full = True

    def test_it_becomes_ready(self):
        self.assertEqual(self.compiled_sources(self.start_and_report()), [])
