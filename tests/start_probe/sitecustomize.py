"""Reports loaded modules, compiled sources and garbage collections when a program binds its client port.

The interpreter imports a module of this name at startup if this folder is on PYTHONPATH. The report is a line
on standard output, which is a pipe to the test, because a file can't be written on a full disk.
"""

import gc
import json
import os
import sys
from _socket import SOCK_STREAM

compiled = []  # sources without usable bytecode
collected = []  # generations collected since the import of Twisted began
awaited_address = os.environ["START_LISTEN"]


def audit_hook(event, arguments):
    """Audit hook that records compiled sources and reports once when the client port is bound."""
    global awaited_address
    if event == "import" and arguments[0] == "twisted":
        collected.clear()
    elif event == "compile" and isinstance(arguments[1], str) and arguments[1].endswith(".py"):
        compiled.append(arguments[1])
    elif event == "socket.bind" and arguments[0].type == SOCK_STREAM:
        host, port, *_ = arguments[1]
        if f"{host}:{port}" == awaited_address:
            awaited_address = None
            report = {"modules": list(sys.modules), "compiled": compiled, "collected": collected}
            os.write(1, b"start_probe " + json.dumps(report).encode() + b"\n")


gc.callbacks.append(lambda phase, info: collected.append(info["generation"]) if phase == "stop" else None)
sys.addaudithook(audit_hook)
