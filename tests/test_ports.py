"""Each test process has its own ports, none of them in the ephemeral range of the kernel."""

import socket
import subprocess
import sys

from .net_world import ROOT
from .ports import EPHEMERAL_RANGE, HOST, RANGE_SIZE, claim_range, is_unused, reserve_port


def test_reserved_ports_are_outside_the_ephemeral_range_and_differ():
    low, high = map(int, EPHEMERAL_RANGE.read_text().split())
    ports = [reserve_port() for _ in range(RANGE_SIZE // 2)]
    assert len(set(ports)) == len(ports)
    assert not any(low <= port <= high for port in ports)


def test_a_port_in_use_is_passed_over():
    kinds = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
    for kind in kinds:
        with socket.socket(socket.AF_INET, kind) as used:
            used.bind((HOST, reserve_port(kind)))
            assert not is_unused(used.getsockname()[1], kind)


def test_another_process_claims_another_range():
    code = "from tests.ports import claim_range; print(claim_range().guard.getsockname()[1])"
    child = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert int(child.stdout) != claim_range().guard.getsockname()[1]
