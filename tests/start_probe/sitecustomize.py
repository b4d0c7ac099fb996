"""Tells what a starting program has loaded, compiled and collected by the time it opens its clients' port.

The interpreter imports this by its name, before the program, where this folder is on PYTHONPATH. The line
goes to standard output, which is the test's pipe: a file could not be written on a full disk.
"""

import gc
import json
import os
import sys
from _socket import SOCK_STREAM

compiled = []  # sources that had no bytecode which could be used
collected = []  # generations, since the first of Twisted was imported
awaited = os.environ["START_LISTEN"]


def watch(event, arguments):
    """An audit hook."""
    global awaited
    if event == "import" and arguments[0] == "twisted":
        collected.clear()
    elif event == "compile" and isinstance(arguments[1], str) and arguments[1].endswith(".py"):
        compiled.append(arguments[1])
    elif event == "socket.bind" and arguments[0].type == SOCK_STREAM:
        host, port, *_ = arguments[1]
        if f"{host}:{port}" == awaited:
            awaited = None
            told = {"modules": list(sys.modules), "compiled": compiled, "collected": collected}
            os.write(1, b"start_probe " + json.dumps(told).encode() + b"\n")


gc.callbacks.append(lambda phase, info: collected.append(info["generation"]) if phase == "stop" else None)
sys.addaudithook(watch)
