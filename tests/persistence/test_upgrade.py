"""Tests of `net.upgrade` on a fake clock: handover between two processes, early ends, a removed folder."""

import shutil
import tempfile
from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from corkdeal import logs
from corkdeal.decisions.gateway import Gateway
from corkdeal.net.request_ids import RequestIds
from corkdeal.net.upgrade import CHECK_INTERVAL, POLL_INTERVAL, POLL_TIMEOUT, UpgradeHandover
from corkdeal.persistence.quota_handover import SUCCESSOR_FRACTION

from .. import helpers


@pytest.fixture
def world(tmp_path, monkeypatch):
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))
    lines, clock, processes = [], Clock(), []
    logs.configure(lambda level, name, pairs: lines.append(name))

    def process():
        """Return a process that is starting; it serves once `has_started` is set."""
        decisions = Gateway(helpers.settings(), seed=1)
        calls = []
        gateway = SimpleNamespace(
            decisions=decisions,
            settings=decisions.settings,
            now=lambda: 5000.0 + clock.seconds(),
            config=SimpleNamespace(name="n0", memory=64 << 20),
            has_started=False,
            request_ids=RequestIds(clock.seconds, 10),
            listen_for_peers=lambda: calls.append("listen_for_peers"),
            stop_peering=lambda: calls.append("stop_peering"),
        )
        upgrade_handover = UpgradeHandover(clock, gateway)
        processes.append(upgrade_handover)

        def start():
            gateway.has_started = True

        upgrade_handover.take_over(start)
        return upgrade_handover, gateway, calls

    def advance_in_polls(seconds):
        for _ in range(round(seconds / POLL_INTERVAL)):
            clock.advance(POLL_INTERVAL)

    yield SimpleNamespace(process=process, advance_in_polls=advance_in_polls, lines=lines, path=tmp_path)
    logs.configure(None)
    for upgrade_handover in processes:
        upgrade_handover.files.close()


def test_a_first_process_starts_at_once_with_the_whole_quota(world):
    upgrade_handover, gateway, _ = world.process()
    assert (
        gateway.has_started
        and not upgrade_handover.is_awaiting_remainder
        and gateway.decisions.quota_fraction == 1.0
    )


def test_the_quota_goes_over_in_two_parts_and_is_never_more_than_one(world):
    old, old_gateway, old_calls = world.process()
    new, new_gateway, new_calls = world.process()
    assert not new_gateway.has_started
    world.advance_in_polls(2 * CHECK_INTERVAL)
    assert new_gateway.has_started and new.is_awaiting_remainder
    assert new_gateway.decisions.quota_fraction == pytest.approx(SUCCESSOR_FRACTION)
    assert old_gateway.decisions.quota_fraction == pytest.approx(1 - SUCCESSOR_FRACTION)
    old.hand_over_remainder()
    assert old.is_finished and old_calls == ["stop_peering"] and old_gateway.decisions.quota_fraction == 0.0
    world.advance_in_polls(2 * CHECK_INTERVAL)
    assert new_gateway.decisions.quota_fraction == pytest.approx(1.0)
    assert not new.is_awaiting_remainder and new_calls == ["listen_for_peers"]
    assert world.lines == ["handover_given", "handover_begun", "handover_rest", "handover_done"]


def test_a_predecessor_that_ends_before_it_gave_the_rest_leaves_its_rate(world):
    old, _, _ = world.process()
    new, new_gateway, _ = world.process()
    world.advance_in_polls(2 * CHECK_INTERVAL)
    old.is_finished = True
    old.files.close()
    world.advance_in_polls(2 * CHECK_INTERVAL)
    assert new_gateway.decisions.quota_fraction == pytest.approx(1.0) and not new.is_awaiting_remainder
    assert world.lines[-1] == "handover_done"


def test_what_a_successor_held_is_taken_back_when_it_ends(world):
    old, old_gateway, _ = world.process()
    new, _, _ = world.process()
    world.advance_in_polls(2 * CHECK_INTERVAL)
    new.is_finished = True
    new.files.close()
    world.advance_in_polls(2 * CHECK_INTERVAL)
    assert old_gateway.decisions.quota_fraction == pytest.approx(1.0) and old.successor is None
    assert world.lines[-1] == "handover_taken_back"


def test_a_predecessor_that_gives_nothing_is_not_waited_for_long(world):
    _, old_gateway, _ = world.process()
    old_gateway.has_started = False  # so it never hands over
    _, new_gateway, _ = world.process()
    world.advance_in_polls(POLL_TIMEOUT / 2)
    assert not new_gateway.has_started
    world.advance_in_polls(POLL_TIMEOUT)
    assert new_gateway.has_started and world.lines == ["handover_none"]


def test_a_folder_that_goes_away_while_a_start_waits_does_not_keep_it_from_starting(world):
    _, old_gateway, _ = world.process()
    old_gateway.has_started = False
    new, new_gateway, _ = world.process()
    shutil.rmtree(world.path / "corkdeal-lives")
    new._disable(OSError("folder removed between two polls"))
    world.advance_in_polls(POLL_INTERVAL)
    assert new_gateway.has_started and new.is_finished and new_gateway.decisions.quota_fraction == 1.0
