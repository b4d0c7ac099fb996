"""Ports for tests, which no other process is given between their choice and their use.

A test that listens itself binds port 0 and keeps that socket. A child process is told a number, and one found
by binding port 0 may go to any other process until the child binds it. Here each test process, such as a
worker of pytest-xdist, claims a range of its own, outside the range that the kernel draws from.
"""

import functools
import itertools
import pathlib
import socket

HOST = "127.0.0.1"
LOWEST, HIGHEST = 10_000, 65_535  # well-known services have lower ports
RANGE_SIZE = 1_000
EPHEMERAL_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def reserve_address(kind=socket.SOCK_STREAM):
    """A loopback address, `host:port`, of a port reserved for this process."""
    return f"{HOST}:{reserve_port(kind)}"


def reserve_port(kind=socket.SOCK_STREAM):
    """A port reserved for this process that no socket has at present."""
    ports = claim_range().ports
    for port in itertools.islice(ports, RANGE_SIZE):
        if is_unused(port, kind):
            return port
    raise RuntimeError("all ports of this process's range are in use")


def is_unused(port, kind):
    """Whether a socket of that kind can be bound to the port."""
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


class PortRange:
    """A range of ports that is this process's own while `guard`, bound to the first one, is open."""

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
    """This process's range: the first one that no other process has claimed."""
    for first in range_starts():
        try:
            return PortRange(first)
        except OSError:
            continue
    raise RuntimeError("no range of ports outside the kernel's ephemeral range is left")


def range_starts():
    """The first port of each range outside the ephemeral range."""
    low, high = map(int, EPHEMERAL_RANGE.read_text().split())
    below = range(LOWEST, low - RANGE_SIZE + 1, RANGE_SIZE)
    above = range(max(LOWEST, high + 1), HIGHEST - RANGE_SIZE + 2, RANGE_SIZE)
    return [*below, *above]
