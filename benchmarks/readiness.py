"""Measures how soon gateways that start together answer PING, the time of each step, and CPU per start.

PYTHONPATH=. python -O benchmarks/readiness.py [--counts 1,20,100] [--forms NAME|NAME] [--machine idle,loaded]
                                               [--against DIR] [--out FILE]

Each process is started by the `run` command of deploy/balancer.toml, from the tree as built (`make build`)
or from a copy of it. DIR is another built checkout, whose processes are started in alternation with this
one's. Time is measured from process creation to +PONG on the client address, with discovery available. On the
`loaded` machine, one busy loop per core runs meanwhile. A set of processes that needs more than the available
memory is skipped and reported as left out. Other load on the machine changes the times: compare CPU seconds,
or two trees in one run.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass
from typing import Any

from corkdeal.standin import fleet
from corkdeal.standin.discovery import Discovery

ROOT = pathlib.Path(__file__).parents[1]
PROBE = pathlib.Path(__file__).with_name("readiness_probe")
PLANS = [{"name": "small", "quota_rate": 10.0, "store_size": 20.0}]
BACKENDS = 20
PING_EVERY = 0.02  # s between PINGs to a process that has opened its port
READY_TIMEOUT = 120.0  # s, the start timeout
PROCESS_MB = 40  # memory of one process, with a margin
MIN_STARTS, MIN_SETS = 20, 2  # for each line of the table
START_LIMITS = (6.0, 10.0)  # s, limits on the start time for which shares are reported
BUSY_LOOP = f"import time\nend = time.monotonic() + {READY_TIMEOUT}\nwhile time.monotonic() < end: pass"
NOT_COPIED = ("tests", "journal", "docs", ".git", "ruff*", "pip", "setuptools", "hypothesis")


@dataclass(frozen=True)
class Start:
    """Durations of one start until the first reply, in seconds; steps are in wall time."""

    ready: float
    cpu: float  # of the process until the first reply
    waiting_for_core: float  # runnable, but not scheduled
    interpreter: float
    imports: float
    imports_cpu: float
    settings: float  # reading settings and the operators' file, and constructing the gateway
    discovery: float  # from the connection to discovery to the open port
    answer: float  # from the open port to the first reply, measured from outside


@dataclass(frozen=True)
class Form:
    """State on disk of the tree that is started."""

    package_bytecode: bool = True
    library_bytecode: bool = True
    writable: bool = True  # whether bytecode files can be written
    keeps_times: bool = True  # copied files keep their modification times
    disk_full: bool = False


FORMS = {
    "built": Form(),
    "disk full, copied without times": Form(keeps_times=False, disk_full=True),
    "package not compiled": Form(package_bytecode=False, writable=False),
    "nothing compiled": Form(package_bytecode=False, library_bytecode=False, writable=False),
    "disk full": Form(disk_full=True),
    "disk full, nothing compiled": Form(package_bytecode=False, library_bytecode=False, disk_full=True),
}


class Process:
    """One gateway process, started by the command of the deploy file."""

    def __init__(self, gateway: fleet.Gateway, run: str, tree: pathlib.Path, disk_full: bool) -> None:
        self.gateway, self.run, self.tree, self.disk_full = gateway, run, tree, disk_full
        self.process: subprocess.Popen[bytes] | None = None
        self.pipe: Any = None  # the end from which the probe's lines are read
        self.started_at = 0.0

    def spawn(self) -> None:
        """Starts the process without waiting for it."""
        gateway = self.gateway
        gateway.path.write_text(json.dumps({**gateway.config, "known": None, "seed": "1"}))
        read_end, write_end = os.pipe()
        self.pipe = open(read_end, "rb", buffering=0)  # noqa: SIM115 (`kill` closes it)
        env = {
            **os.environ,
            "PYTHONPATH": str(PROBE),
            "RELAY_CONFIG": str(gateway.path),
            "READINESS_DISCOVERY": gateway.config["discovery"],
            "READINESS_LISTEN": gateway.listen,
            "READINESS_PIPE": str(write_end),
        }
        env.pop("PYTHONDONTWRITEBYTECODE", None)
        with open(gateway.log, "ab") as log:
            self.started_at = time.monotonic()
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", self.run],
                cwd=self.tree,
                env=env,
                stdout=log,
                stderr=log,
                pass_fds=[write_end],
                preexec_fn=self.prepare,
            )
        os.close(write_end)

    def prepare(self) -> None:
        """Runs in the child process before the program is executed."""
        fleet.die_with_parent()
        if self.disk_full:
            fleet.set_disk_full(0, True)

    async def ready(self) -> Start:
        """Waits until the port is open and then for the first reply; nothing connects to it before."""
        async with asyncio.timeout(READY_TIMEOUT):
            steps = await self.read_steps()
            while not await self.gateway.answers_ping():
                await asyncio.sleep(PING_EVERY)
            return self.combine_measurements(steps, time.monotonic())

    async def read_steps(self) -> dict[str, dict[str, Any]]:
        """Reads the reports of the probe in the process until its port is about to open."""
        reader = asyncio.StreamReader()
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), self.pipe)
        steps: dict[str, dict[str, Any]] = {}
        while "listening" not in steps:
            if not (line := await reader.readline()):
                raise fleet.GatewayExitedError(
                    f"gateway exited while starting: {self.gateway.log.read_text()[-2000:]}"
                )
            step = json.loads(line)
            steps[step["step"]] = step
        return steps

    def combine_measurements(self, steps: dict[str, dict[str, Any]], replied_at: float) -> Start:
        """Combines the kernel's and the probe's measurements of a completed start."""
        assert self.process is not None
        on_core, waited, _ = pathlib.Path(f"/proc/{self.process.pid}/schedstat").read_text().split()
        interpreter_up, settings = steps["interpreter up"], steps["settings"]
        discovery, listening = steps["discovery"], steps["listening"]

        def without_imports(begin: dict[str, Any], end: dict[str, Any]) -> float:
            return end["at"] - begin["at"] - (end["import_wall_s"] - begin["import_wall_s"])

        return Start(
            ready=replied_at - self.started_at,
            cpu=int(on_core) / 1e9,
            waiting_for_core=int(waited) / 1e9,
            interpreter=interpreter_up["at"] - self.started_at + without_imports(interpreter_up, settings),
            imports=listening["import_wall_s"],
            imports_cpu=listening["import_cpu_s"],
            settings=without_imports(settings, discovery),
            discovery=without_imports(discovery, listening),
            answer=replied_at - listening["at"],
        )

    def kill(self) -> None:
        """Kills the process and closes its pipe."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        if self.pipe is not None:
            self.pipe.close()


@contextlib.contextmanager
def busy_loops(count: int) -> Iterator[None]:
    """Runs that many busy loops meanwhile; each also ends by itself after READY_TIMEOUT seconds."""
    processes = [
        subprocess.Popen([sys.executable, "-c", BUSY_LOOP], preexec_fn=fleet.die_with_parent)
        for _ in range(count)
    ]
    try:
        yield
    finally:
        for each in processes:
            each.kill()
            each.wait()


def ignored_names(tree: pathlib.Path, form: Form) -> Callable[[str, list[str]], set[str]]:
    """Returns the `ignore` argument of shutil.copytree for a copy of the tree."""
    ignore_always = shutil.ignore_patterns(*NOT_COPIED)

    def ignore(folder: str, names: list[str]) -> set[str]:
        is_library = ".venv" in pathlib.Path(folder).relative_to(tree).parts
        has_bytecode = form.library_bytecode if is_library else form.package_bytecode
        return ignore_always(folder, names) | (set() if has_bytecode else {"__pycache__"} & set(names))

    return ignore


def prepare_tree(tree: pathlib.Path, form: Form, folder: pathlib.Path) -> pathlib.Path:
    """Returns a tree in the given state: a copy, or the tree itself if that needs no change."""
    if form in (FORMS["built"], FORMS["disk full"]):
        return tree
    copy_file = shutil.copy2 if form.keeps_times else shutil.copy
    shutil.copytree(
        tree,
        folder,
        symlinks=True,
        ignore=ignored_names(tree, form),
        copy_function=copy_file,
        dirs_exist_ok=True,
    )
    if not form.writable:  # a file named __pycache__ prevents bytecode even for root
        for source in [*folder.rglob("*.py")]:
            placeholder = source.with_name("__pycache__")
            if not placeholder.exists():
                placeholder.touch()
    return folder


def available_memory_mb() -> int:
    """Returns the memory available to new processes, in MB."""
    lines = pathlib.Path("/proc/meminfo").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("MemAvailable")) // 1024


def backends() -> list[dict[str, Any]]:
    """Returns an endpoint list; nothing listens at its addresses."""
    common = {"locality": fleet.ZONES[0], "flavor": "standard", "phase": "Ready", "size": 1.0}
    return [
        {"id": f"s{i}", "host_port": f"127.0.0.1:{i + 1}", "cell": i, "up_since_ms": 0, **common}
        for i in range(BACKENDS)
    ]


async def start_together(count: int, tree: pathlib.Path, form: Form, run: str) -> list[Start]:
    """Starts that many processes at once and waits for the first reply of each."""
    discovery = Discovery(backends)
    await discovery.start()
    with tempfile.TemporaryDirectory() as folder:
        gateways = fleet.create_gateways(count, discovery.port, pathlib.Path(folder), PLANS)
        addresses = fleet.find_free_addresses(count, socket.SOCK_STREAM, fleet.process_loopback_host())
        for gateway, address in zip(gateways, addresses, strict=True):  # distinct, and no client's port
            gateway.listen = gateway.config["listen"] = address
        processes = [Process(gateway, run, tree, form.disk_full) for gateway in gateways]
        try:
            for process in processes:
                process.spawn()
            return list(await asyncio.gather(*(process.ready() for process in processes)))
        finally:
            for process in processes:
                process.kill()
            discovery.close()


def percentile_90(values: list[float]) -> float:
    """Returns the 90th percentile: the smallest value that at least 90% do not exceed."""
    return sorted(values)[-(-9 * len(values) // 10) - 1]


def summarize(starts: list[Start]) -> dict[str, Any]:
    """Summarizes starts of one kind: distribution of start times, and the median of each step."""
    ready = [start.ready for start in starts]
    columns = {name: [asdict(start)[name] for start in starts] for name in asdict(starts[0])}
    return {
        "starts": len(starts),
        "ready_nine_in_ten_s": round(percentile_90(ready), 3),
        "ready_most_s": round(max(ready), 3),
        "share_within": {
            f"{limit:g} s": sum(seconds <= limit for seconds in ready) / len(ready) for limit in START_LIMITS
        },
        "median_s": {name: round(statistics.median(column), 3) for name, column in columns.items()},
    }


def measure(
    form_name: str, count: int, is_loaded: bool, trees: list[pathlib.Path], run: str, min_starts: int
) -> list[dict[str, Any]]:
    """Returns a line of the table for each tree; sets of both trees are started in alternation."""
    lines = [
        {"form": form_name, "tree": number, "at_once": count, "loaded": is_loaded}
        for number in range(len(trees))
    ]
    if available_memory_mb() < count * PROCESS_MB:
        reason = f"{available_memory_mb()} MB free, {count * PROCESS_MB} MB needed"
        return [{**line, "left_out": reason} for line in lines]
    form, starts = FORMS[form_name], [[] for _ in trees]
    order = list(range(len(trees)))
    loops = (os.cpu_count() or 1) if is_loaded else 0
    with tempfile.TemporaryDirectory() as folder:
        prepared_trees = [
            prepare_tree(tree, form, pathlib.Path(folder, str(number))) for number, tree in enumerate(trees)
        ]
        with busy_loops(loops):
            while len(starts[0]) < max(min_starts, MIN_SETS * count):
                for number in order:
                    starts[number] += asyncio.run(start_together(count, prepared_trees[number], form, run))
                order.reverse()  # changes of the load on the machine affect both trees alike
    return [{**line, **summarize(tree_starts)} for line, tree_starts in zip(lines, starts, strict=True)]


def format_line(line: dict[str, Any]) -> str:
    """Formats a line of the table."""
    tree = "other" if line["tree"] else "this"
    head = f"| {line['form']} | {tree} | {line['at_once']} | {'loaded' if line['loaded'] else 'idle'} | "
    if "left_out" in line:
        return f"{head}left out: {line['left_out']} |"
    median = line["median_s"]
    steps = ("cpu", "waiting_for_core", "interpreter", "imports", "settings", "discovery", "answer")
    times = [line["ready_nine_in_ten_s"], line["ready_most_s"], *(median[step] for step in steps)]
    return head + " | ".join(f"{t:.2f}" for t in times) + " |"


def main() -> None:
    """Runs all measurements and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--counts", default="1,20,100")
    parser.add_argument("--forms", default="|".join(FORMS), help="separated by |")
    parser.add_argument("--machine", default="idle,loaded")
    parser.add_argument("--starts", type=int, default=MIN_STARTS, help="least number for each line")
    parser.add_argument("--against", type=pathlib.Path)
    parser.add_argument("--out", type=pathlib.Path)
    args = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # SystemExit runs the clean-up of started processes
    trees = [ROOT] + ([args.against.resolve()] if args.against else [])
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    results = []
    steps = "cpu | waiting for a core | interpreter | imports | settings | discovery | answer"
    print(f"| form | tree | at once | machine | nine in ten | slowest | {steps} |")
    print("| --- " * 13 + "|")
    counts = [int(count) for count in args.counts.split(",")]
    for form, count, machine in itertools.product(args.forms.split("|"), counts, args.machine.split(",")):
        lines = measure(form, count, machine == "loaded", trees, run, args.starts)
        results += lines
        print("\n".join(map(format_line, lines)), flush=True)
    if args.out:
        report = {"run": run, "cores": os.cpu_count(), "python": sys.version.split()[0], "lines": results}
        args.out.write_text(json.dumps(report, indent=1) + "\n")


if __name__ == "__main__":
    main()
