"""Reports from inside a starting gateway when it came to each step, and what its imports took by then.

The interpreter imports this by its name where this folder is on PYTHONPATH, before the program, which is run
unchanged. A step is seen by an audit event that the program raises anyway; each is one JSON line on the
pipe that READINESS_PIPE numbers. Costs about 2 ms of CPU a start.
"""

import _frozen_importlib
import json
import os
import sys
import time
from _socket import SOCK_STREAM  # the socket module is left for the program to import

pipe = int(os.environ["READINESS_PIPE"])
STEPS = {  # (audit event, what it names): the step that begins with it
    ("open", os.environ["RELAY_CONFIG"]): "settings",
    ("socket.connect", os.environ["READINESS_DISCOVERY"]): "discovery",
    ("socket.bind", os.environ["READINESS_LISTEN"]): "listening",
}
find_and_load = _frozen_importlib._find_and_load  # what every import that finds nothing loaded goes through
nested = 0
wall_s = cpu_s = 0.0  # that imports have taken, each import within another counted once


def timed_find_and_load(*arguments):
    """Import, and add what that took."""
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
    """Tell the benchmark that a step begins."""
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
    """An audit hook: each step is reported once."""
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
