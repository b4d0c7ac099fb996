"""Reports from inside a starting gateway when each step begins, and the time spent in imports by then.

The interpreter imports a module of this name at startup if this folder is on PYTHONPATH; the program itself
is unchanged. Steps are recognized by audit events that the interpreter raises anyway. Each step is reported
as a JSON line on the pipe whose descriptor number is in READINESS_PIPE. Costs about 2 ms of CPU per start.
"""

import _frozen_importlib
import json
import os
import sys
import time
from _socket import SOCK_STREAM  # the program imports `socket` itself, so that this is measured

pipe = int(os.environ["READINESS_PIPE"])
STEPS = {  # (audit event, its path or address): the step that begins with it
    ("open", os.environ["RELAY_CONFIG"]): "settings",
    ("socket.connect", os.environ["READINESS_DISCOVERY"]): "discovery",
    ("socket.bind", os.environ["READINESS_LISTEN"]): "listening",
}
find_and_load = _frozen_importlib._find_and_load  # called by every import of a module that is not yet loaded
nested = 0
wall_s = cpu_s = 0.0  # time spent in imports; nested ones are not counted twice


def timed_find_and_load(*arguments):
    """Imports a module and adds the time that it took."""
    global nested, wall_s, cpu_s
    nested += 1
    wall, cpu = time.monotonic(), time.process_time()
    try:
        return find_and_load(*arguments)
    finally:
        nested -= 1
        if not nested:
            wall_s += time.monotonic() - wall
            cpu_s += time.process_time() - cpu


def report(step):
    """Reports to the benchmark that a step begins."""
    line = {
        "step": step,
        "at": time.monotonic(),
        "cpu_s": time.process_time(),
        "import_wall_s": wall_s,
        "import_cpu_s": cpu_s,
        "modules": len(sys.modules),
    }
    os.write(pipe, json.dumps(line).encode() + b"\n")


def watch(event, arguments):
    """Audit hook that reports each step once."""
    if event == "open":
        named = arguments[0]
    elif event in ("socket.connect", "socket.bind") and arguments[0].type == SOCK_STREAM:
        named = f"{arguments[1][0]}:{arguments[1][1]}"
    else:
        return
    if type(named) is str and (step := STEPS.pop((event, named), None)):
        report(step)


_frozen_importlib._find_and_load = timed_find_and_load
sys.addaudithook(watch)
report("interpreter up")
