"""Recovery connected to a gateway of plain records, with a simulated reactor clock."""

from collections import Counter
from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from corkdeal.decisions.gateway import Gateway
from corkdeal.net import recovery as net_recovery
from corkdeal.net.recovery import DISCOVERY_TIMEOUT, UNREAD_WINDOW, RecoveryService
from corkdeal.recovery.admission_ramp import StallRamp, StartRamp
from corkdeal.recovery.readiness import ReadinessState
from tests.helpers import settings


class World:
    """A gateway that is serving, with its recovery."""

    def __init__(self, has_started=True):
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.decisions = Gateway(settings(0, 3), seed=1)
        self.discovery_queries = 0
        self.attempt = SimpleNamespace(sent_at=990.0)
        self.gateway = SimpleNamespace(
            decisions=self.decisions,
            now=self.clock.seconds,
            pool=SimpleNamespace(check_stall=None, drop_connecting=lambda: None),
            counters=Counter(),
            attempts_in_flight={1: self.attempt},
            has_started=has_started,
            upgrade_handover=None,
            restart_watch=self.query_discovery,
        )
        self.recovery = RecoveryService(self.clock, self.gateway)
        self.recovery.start()

    def query_discovery(self):
        self.discovery_queries += 1

    def run(self, seconds):
        self.clock.pump([0.05] * round(seconds / 0.05))


def test_a_start_withholds_retries_and_is_limited_to_its_part_of_the_backends():
    world = World()
    assert (world.decisions.retries.budget, world.recovery.withheld_retries) == (1.0, 10.0)
    world.recovery.limit_start(0)
    assert world.decisions.admission_ramp is None
    world.recovery.limit_start(30)
    ramp = world.decisions.admission_ramp
    assert isinstance(ramp, StartRamp) and ramp.limit == pytest.approx(20.0)
    world.recovery.limit_start(90)
    assert world.decisions.admission_ramp is ramp
    world.recovery.record_discovery_reply()
    world.run(3.0)
    assert world.recovery.readiness.state is ReadinessState.FULL and world.decisions.admission_ramp is None


def test_a_stall_waits_for_discovery_and_uses_the_old_list_after_a_timeout():
    world = World()
    world.run(0.5)
    assert world.gateway.pool.check_stall() is False
    world.clock.rightNow += 5.0  # no delayed call ran in this time
    assert world.gateway.pool.check_stall() is True
    assert world.discovery_queries == 1 and world.decisions.is_endpoint_list_stale
    assert world.attempt.sent_at == pytest.approx(995.0, abs=0.2)
    assert isinstance(world.decisions.admission_ramp, StallRamp)
    world.run(DISCOVERY_TIMEOUT - 0.1)
    assert world.decisions.is_endpoint_list_stale
    world.run(0.2)
    assert not world.decisions.is_endpoint_list_stale


def test_an_answer_of_discovery_ends_the_wait():
    world = World()
    world.clock.rightNow += 5.0
    world.recovery.check_stall(world.clock.seconds())
    world.recovery.record_discovery_reply()
    assert not world.decisions.is_endpoint_list_stale and world.recovery.readiness.has_fresh_endpoints


def test_a_stall_before_the_gateway_serves_waits_for_nothing():
    world = World(has_started=False)
    world.clock.rightNow += 5.0
    assert world.recovery.check_stall(world.clock.seconds())
    assert world.discovery_queries == 0 and not world.decisions.is_endpoint_list_stale


@pytest.mark.parametrize(
    ("age", "elapsed", "expected"),
    [(None, 0.1, 0.0), (0.3, 0.1, 0.3), (99.0, 0.1, 5.1), (99.0, UNREAD_WINDOW + 0.1, 0.0)],
)
def test_unread_bytes_are_as_old_as_the_kernel_tells_within_the_stall(monkeypatch, age, elapsed, expected):
    monkeypatch.setattr(net_recovery, "seconds_since_last_data", lambda handle: age)
    world = World()
    world.clock.rightNow += 5.0
    world.recovery.check_stall(world.clock.seconds())
    world.run(elapsed)
    assert world.recovery.unread_time(None, world.clock.seconds()) == pytest.approx(expected)
