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

pipe_fd = int(os.environ["READINESS_PIPE"])
STEPS = {  # (audit event, its path or address): the step that begins with it
    ("open", os.environ["RELAY_CONFIG"]): "settings",
    ("socket.connect", os.environ["READINESS_DISCOVERY"]): "discovery",
    ("socket.bind", os.environ["READINESS_LISTEN"]): "listening",
}
original_find_and_load = _frozen_importlib._find_and_load  # called for each module not yet loaded
import_depth = 0
wall_s = cpu_s = 0.0  # time spent in imports; nested ones are not counted twice


def timed_find_and_load(*arguments):
    """Imports a module and adds the time that it took."""
    global import_depth, wall_s, cpu_s
    import_depth += 1
    wall, cpu = time.monotonic(), time.process_time()
    try:
        return original_find_and_load(*arguments)
    finally:
        import_depth -= 1
        if not import_depth:
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
    os.write(pipe_fd, json.dumps(line).encode() + b"\n")


def audit_hook(event, arguments):
    """Audit hook that reports each step once."""
    if event == "open":
        resource = arguments[0]
    elif event in ("socket.connect", "socket.bind") and arguments[0].type == SOCK_STREAM:
        resource = f"{arguments[1][0]}:{arguments[1][1]}"
    else:
        return
    if type(resource) is str and (step := STEPS.pop((event, resource), None)):
        report(step)


_frozen_importlib._find_and_load = timed_find_and_load
sys.addaudithook(audit_hook)
report("interpreter up")
