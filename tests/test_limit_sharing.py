"""How processes exchange claims on a gateway's limits, on a fake clock: starts, ends, a folder that fails."""

import shutil
from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from corkdeal import logs
from corkdeal.net import invariants
from corkdeal.net.budget import CONNECTION_MEMORY, MIN_SHARED_BUDGET, Budget, budget_for
from corkdeal.net.descriptors import RESERVED, Descriptors
from corkdeal.net.limit_sharing import (
    CHECK_INTERVAL,
    CLAIM_GRACE,
    EARLIER_VERSION_AFTER,
    PREDECESSOR_TIME,
    SHARING_CHECK_INTERVAL,
    LimitSharing,
    share_without_folder,
)
from corkdeal.net.process_limits import MIN_CONNECTIONS, GatewayLimits
from corkdeal.net.upgrade_start import has_room
from corkdeal.persistence.claim_table import ClaimTable
from corkdeal.persistence.handover_files import HandoverFiles

from .test_changed_limits import FakeConnection, FakePool

MEMORY, SOCKETS = 192 << 20, 1024


class World:
    """Processes of one gateway that share a folder and a clock."""

    def __init__(self, path):
        self.path, self.clock, self.files = path / "n0", Clock(), []

    def gateway(self, memory=MEMORY):
        clients = set()
        descriptors = Descriptors(SOCKETS, clients, self.clock.seconds)
        descriptors.pool = FakePool(0)
        return SimpleNamespace(
            config=SimpleNamespace(memory=memory, sockets=SOCKETS),
            budget=Budget(budget_for(memory)),
            descriptors=descriptors,
            client_connections=clients,
            name_memory=SimpleNamespace(held_bytes=0),
            shutdown=SimpleNamespace(is_draining=False),
            now=self.clock.seconds,
        )

    def join(self):
        """Return the files of a process that starts, and has stated nothing yet."""
        files = HandoverFiles(str(self.path))
        files.join()
        self.files.append(files)
        return files

    def start(self):
        """Start a process; return its part of the limits."""
        sharing = LimitSharing(self.clock, self.gateway(), self.join())
        sharing.start()
        return sharing

    def end(self, sharing):
        """End a process, which gives up its locks."""
        sharing.check = lambda: None
        for call in self.clock.getDelayedCalls():
            if getattr(call.func, "__self__", None) is sharing:
                call.cancel()
        sharing.files.close()

    def advance(self, seconds):
        for _ in range(round(seconds / SHARING_CHECK_INTERVAL)):
            self.clock.advance(SHARING_CHECK_INTERVAL)


@pytest.fixture
def world(tmp_path):
    invariants.counts.clear()
    logs.configure(lambda level, name, fields: None)
    world = World(tmp_path)
    yield world
    logs.configure(None)
    for files in world.files:
        files.close()


def has_all(sharing):
    gateway = sharing.gateway
    return gateway.budget.limit == budget_for(MEMORY) and gateway.descriptors.limit == SOCKETS - RESERVED


def test_two_processes_have_equal_parts_and_whoever_stays_gets_all(world):
    old = world.start()
    assert has_all(old)
    new = world.start()
    assert new.gateway.descriptors.limit == MIN_CONNECTIONS  # the older one has not noticed it yet
    world.advance(3 * CHECK_INTERVAL)
    half = (SOCKETS - 2 * RESERVED) // 2
    assert old.gateway.descriptors.limit == new.gateway.descriptors.limit == half
    assert old.gateway.budget.limit == pytest.approx(new.gateway.budget.limit, abs=1)
    assert old.gateway.descriptors.may_leave_queued and not new.gateway.descriptors.may_leave_queued
    world.end(new)
    world.advance(3 * CHECK_INTERVAL)
    assert has_all(old)
    third = world.start()
    world.advance(3 * CHECK_INTERVAL)
    world.end(old)
    world.advance(3 * CHECK_INTERVAL)
    assert has_all(third)


def test_an_older_process_makes_room_for_one_that_loads_its_program(world):
    old = world.start()
    files = world.join()
    table = ClaimTable(files.files, files.incarnation)
    assert not has_room(old.applied.limits, files, table)
    world.advance(3 * CHECK_INTERVAL)
    assert has_room(old.applied.limits, files, table)
    assert old.gateway.descriptors.limit > SOCKETS / 2 and not old.has_started(files.incarnation)


def test_a_start_does_not_wait_for_a_predecessor_that_states_no_claim(world):
    world.join()
    files = world.join()
    limits = GatewayLimits(MEMORY, SOCKETS)
    assert has_room(limits, files, ClaimTable(files.files, files.incarnation))


def test_a_process_without_a_claim_counts_as_one_of_an_earlier_version_after_a_while(world):
    old = world.start()
    files = world.join()
    world.advance(CLAIM_GRACE / 2)
    assert not old.has_started(files.incarnation)
    world.advance(CLAIM_GRACE + CHECK_INTERVAL)
    assert old.has_started(files.incarnation) and old.gateway.budget.limit > budget_for(MEMORY) / 2
    world.advance(EARLIER_VERSION_AFTER)
    assert old.gateway.budget.limit == MIN_SHARED_BUDGET


def test_a_draining_process_goes_on_accepting_while_its_successor_loads_its_program(world):
    old = world.start()
    files = world.join()
    has_room(old.applied.limits, files, ClaimTable(files.files, files.incarnation))
    old.gateway.shutdown.is_draining = True
    world.advance(3 * CHECK_INTERVAL)
    assert old.gateway.descriptors.limit > SOCKETS / 2


def test_a_folder_that_is_removed_leaves_each_process_its_part_until_the_other_must_have_ended(world):
    old, new = world.start(), world.start()
    world.advance(3 * CHECK_INTERVAL)
    parts = [each.gateway.budget.limit for each in (old, new)]
    shutil.rmtree(world.path)
    world.advance(PREDECESSOR_TIME / 2)
    assert [each.gateway.budget.limit for each in (old, new)] == parts
    world.advance(PREDECESSOR_TIME)
    assert has_all(new) and has_all(old) and invariants.counts["limits_not_shared"] == 2


def test_without_a_folder_a_process_serves_short_requests_and_has_all_once_a_predecessor_has_ended(world):
    gateway = world.gateway()
    share_without_folder(world.clock, gateway)
    assert gateway.budget.limit == MIN_SHARED_BUDGET
    assert gateway.descriptors.limit == SOCKETS // 2 - RESERVED
    gateway.client_connections.update(FakeConnection(0) for _ in range(400))
    world.advance(2 * CHECK_INTERVAL)
    assert gateway.budget.limit == MIN_SHARED_BUDGET + 400 * CONNECTION_MEMORY
    world.advance(PREDECESSOR_TIME)
    assert gateway.budget.limit == budget_for(MEMORY) and gateway.descriptors.limit == SOCKETS - RESERVED
