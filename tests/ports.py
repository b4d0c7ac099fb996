"""Reserves ports for the child processes of tests, so that no other process can bind them in the meantime.

A test that listens itself binds port 0 and keeps the socket. A child process needs a port number in advance;
one found by binding port 0 can be taken by any other process until the child binds it. Each test process,
such as a pytest-xdist worker, therefore claims its own range outside the kernel's ephemeral range.
"""

import functools
import itertools
import pathlib
import socket

HOST = "127.0.0.1"
LOWEST, HIGHEST = 10_000, 65_535  # lower ports are common among other services
RANGE_SIZE = 1_000
EPHEMERAL_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def reserve_address(kind=socket.SOCK_STREAM):
    """Returns a loopback address, `host:port`, with a port reserved for this process."""
    return f"{HOST}:{reserve_port(kind)}"


def reserve_port(kind=socket.SOCK_STREAM):
    """Returns a port reserved for this process that no socket uses at present."""
    ports = claim_range().ports
    for port in itertools.islice(ports, RANGE_SIZE):
        if is_unused(port, kind):
            return port
    raise RuntimeError("all ports of this process's range are in use")


def is_unused(port, kind):
    """Tells whether a socket of that kind can be bound to the port."""
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


class PortRange:
    """A range of ports claimed by this process while `guard`, bound to its first port, is open."""

    def __init__(self, first):
        self.guard = socket.socket()
        try:
            self.guard.bind((HOST, first))
        except OSError:
            self.guard.close()
            raise
        self.ports = itertools.cycle(range(first + 1, first + RANGE_SIZE))


@functools.cache
def claim_range():
    """Returns this process's range, the first one that no other process had claimed."""
    for first in range_starts():
        try:
            return PortRange(first)
        except OSError:
            continue
    raise RuntimeError("no range of ports outside the kernel's ephemeral range is left")


def range_starts():
    """Returns the first port of each range outside the ephemeral range."""
    low, high = map(int, EPHEMERAL_RANGE.read_text().split())
    below = range(LOWEST, low - RANGE_SIZE + 1, RANGE_SIZE)
    above = range(max(LOWEST, high + 1), HIGHEST - RANGE_SIZE + 2, RANGE_SIZE)
    return [*below, *above]
