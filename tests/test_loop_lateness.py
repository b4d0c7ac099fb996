"""The event loop's lateness as a metric, load shedding by it, and the limit on accepts per iteration."""

import http.client
import json
import socket
import time

import pytest
from twisted.internet.protocol import Protocol, ServerFactory
from twisted.internet.testing import MemoryReactorClock

from corkdeal.net import client_port
from corkdeal.net.loop_lateness import MIN_RETENTION, OVERLOAD_LATENESS, LoopLateness
from corkdeal.net.resp import encode_command

from .net_fakes import connect
from .net_world import WAIT_TIMEOUT
from .ports import reserve_address
from .test_idle_connections import make_gateway
from .test_net_races import ControlledProgram


def test_the_greatest_lateness_is_reported_for_a_while():
    lateness = LoopLateness()
    lateness.record_firing(100.0, 100.3, 0.0)
    lateness.record_firing(100.4, 100.45, 0.0)
    assert round(lateness.max_lateness, 3) == 0.3
    lateness.record_firing(100.3 + MIN_RETENTION, 100.31 + MIN_RETENTION, 0.0)
    assert round(lateness.max_lateness, 3) == 0.3  # from the previous period
    lateness.record_firing(100.4 + 2 * MIN_RETENTION, 100.42 + 2 * MIN_RETENTION, 0.0)
    assert round(lateness.max_lateness, 3) == 0.02
    lateness.record_firing(200.0, 199.9, 0.0)
    assert lateness.max_lateness == 0.0


@pytest.mark.parametrize(("own_part", "overloaded"), [(1.0, True), (0.4, True), (0.1, False), (0.0, False)])
def test_two_late_firings_in_a_row_are_an_overload_if_the_process_used_the_cpu(own_part, overloaded):
    lateness, now, cpu_time = LoopLateness(), 1.0, 0.5
    lateness.record_firing(now, now, cpu_time)
    for firing, late in enumerate((OVERLOAD_LATENESS, OVERLOAD_LATENESS, OVERLOAD_LATENESS / 2)):
        due, now = now + 0.1, now + 0.1 + late * 1.001
        cpu_time += own_part * (late + 0.1)
        lateness.record_firing(due, now, cpu_time)
        assert lateness.is_overloaded is (overloaded and firing == 1)


READ_COMMAND = encode_command(b"API.READ", b"%016x" % 7, b"%016x" % 1, b"c=look,t=large,d=3000")


def test_requests_of_new_connections_are_rejected_while_the_loop_is_late_and_not_while_it_ends():
    gateway, _ = make_gateway()
    before = connect(gateway)
    gateway.lateness.consecutive_late_firings = 2
    shed_connection = connect(gateway)
    for connection in (before, shed_connection):
        connection.dataReceived(encode_command(b"PING"))
    assert before.transport.value() == b"+PONG\r\n"
    shed_connection.dataReceived(READ_COMMAND)
    assert shed_connection.transport.value() == b"-ERR max number of clients reached\r\n-BUSY\r\n"
    assert not gateway.rpcs and gateway.client_connections == {before, shed_connection}
    gateway.lateness.consecutive_late_firings = 0
    shed_connection.dataReceived(READ_COMMAND)
    assert len(gateway.rpcs) == 1  # it is served like any other from then on
    gateway.lateness.consecutive_late_firings = 2
    gateway.shutdown.is_draining = True  # connections that the kernel has accepted must be served then
    assert not connect(gateway).is_shed


class RecordingFactory(ServerFactory):
    """Records accepted connections and keeps them open."""

    noisy = False

    def __init__(self):
        self.accepted = []

    def acceptable_count(self, most):
        return most

    def buildProtocol(self, addr):
        self.accepted.append(Protocol())
        return self.accepted[-1]


def test_an_iteration_accepts_some_waiting_connections_and_a_shutdown_all():
    reactor, factory = MemoryReactorClock(), RecordingFactory()
    port = client_port.listen(reactor, ("127.0.0.1", 0), factory)
    clients = [socket.create_connection(("127.0.0.1", port.getHost().port)) for _ in range(60)]
    try:
        counts = []
        for _ in range(2):
            port.doRead()
            counts.append(len(factory.accepted))
        assert counts == [client_port.MAX_ACCEPTS, 2 * client_port.MAX_ACCEPTS]
        port.accept_queued()
        assert len(factory.accepted) == 60
    finally:
        for client in clients:
            client.close()
        for protocol in factory.accepted:
            protocol.transport.socket.close()
        port.socket.close()


class ProcessMetric(ControlledProgram):
    """The metric of the real gateway process."""

    build = ("-O",)

    def late_ms(self):
        host, port = self.config["ops"].split(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=WAIT_TIMEOUT)
        self.addCleanup(conn.close)
        conn.request("GET", "/status/metrics")
        return json.loads(conn.getresponse().read())["app_loop_late_ms"]

    def test_a_stalled_process_reports_its_lateness(self):
        self.start(config={"ops": reserve_address()}, a={})
        self.freeze()
        self.thaw(after=0.5, since=time.monotonic())
        until = time.monotonic() + WAIT_TIMEOUT
        while self.late_ms() < 300 and time.monotonic() < until:
            time.sleep(0.01)  # until the periodic timer has fired
        self.assertGreaterEqual(self.late_ms(), 300)
