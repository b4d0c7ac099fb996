"""A tier of real gateways with injected faults: the rules hold, and no process outlives the run."""

import asyncio
import os
import pathlib
import signal

import pytest

from corkdeal.experiment import schedule
from corkdeal.experiment.tier import TierRun

from ..net_world import WAIT_TIMEOUT

SMALL_TIER = "tier gateways=3 servers=3 load=0.3 settled=0.5 "


def run_schedule(text, folder, seed=1):
    tier_run = TierRun(schedule.parse(text), seed, pathlib.Path(folder))
    return tier_run, asyncio.run(tier_run.run())


def without_delay_violations(seen):
    """Violations, without those that delays on a loaded machine can cause."""
    return [b for b in seen["broken"] if "no answer" not in b["lines"][0] and "told" not in b["rule"]]


async def wait_until(condition):
    """Poll until a condition holds."""
    async with asyncio.timeout(WAIT_TIMEOUT):
        while not condition():
            await asyncio.sleep(0.01)


async def wait_for_failed_write(gateway, folder):
    """Wait until a running gateway has failed to write: it creates a file in its folder and removes it."""
    await wait_until(lambda: gateway.up)
    before = folder.stat().st_mtime_ns
    await wait_until(lambda: folder.stat().st_mtime_ns != before)


def is_alive(gateway):
    try:
        os.kill(gateway.process.pid, 0)
    except ProcessLookupError:
        return False
    return True


def test_gateways_killed_and_cut_off_under_load_keep_the_rules(tmp_path):
    tier_run, seen = run_schedule(
        SMALL_TIER + 'seconds=5.0\nat 1.0 { link loss=0.4 seconds=2.0; link sender="0" to="1" cut=true; }\n'
        'at 1.5 { kill "0,1"; }\nat 1.8 { start "down"; }',
        tmp_path,
    )
    assert not without_delay_violations(seen)
    assert len(seen["ready_s"]) == 2 and seen["links"]["cut"] and seen["links"]["lost"]
    assert seen["outcomes"]["served"] > 0 and not any(is_alive(g) for g in tier_run.gateways)


def test_all_processes_end_with_a_run_that_fails_even_stopped_ones(tmp_path):
    tier_run = TierRun(
        schedule.parse(SMALL_TIER + 'seconds=9.0\nat 0.1 { stop "0"; }\nat 0.2 { start "1"; }'), 1, tmp_path
    )

    async def fail(kind, numbers):
        if kind == "start":
            raise RuntimeError("as the test wants")
        await process(kind, numbers)

    process, tier_run.process = tier_run.process, fail
    with pytest.raises(RuntimeError, match="as the test wants"):
        asyncio.run(tier_run.run())
    assert tier_run.gateways and not any(is_alive(g) for g in tier_run.gateways)
    assert tier_run.gateways[0].process.returncode == -signal.SIGKILL


def test_gateways_that_stood_still_send_nothing_old_and_nothing_to_a_server_gone_meanwhile(tmp_path):
    tier_run, seen = run_schedule(
        SMALL_TIER.replace("servers=3", "servers=4")
        + 'seconds=9.0\nat 1.0 { stop "0,1"; }\nat 2.0 { servers "0,1" what="gone"; }\n'
        'at 6.5 { continue "all"; }',
        tmp_path,
    )
    assert not [b for b in seen["broken"] if "answer" not in b["rule"]]
    logs = [(tmp_path / f"n{i}.log").read_text() for i in range(3)]
    assert ["stood still" in log for log in logs] == [True, True, False]
    assert tier_run.history.attempts[-1].at > 6.5 and seen["outcomes"]["failed"] > 0


def test_a_gateway_whose_wall_clock_went_back_says_so_and_one_whose_disk_is_full_serves_on(tmp_path):
    tier_run = TierRun(
        schedule.parse(
            SMALL_TIER + 'seconds=8.0 knowledge=true\nat 1.0 { kill "0,1"; clock "0" by=-60.0; }\n'
            'at 1.2 { folders "0" what="empty"; folders "1" what="full"; }\n'
            'at 1.3 { start "down"; }\nat 3.0 { folders "1" what="freed"; }'
        ),
        1,
        tmp_path,
    )
    step = tier_run.step

    async def free_after_a_failed_write(each):
        is_freed = each.kind == "folders" and each.what.what == "freed"
        if is_freed:
            await wait_for_failed_write(tier_run.gateways[1], tmp_path / "state" / "n1")
        await step(each)
        if is_freed:
            await wait_until(lambda: "knowledge_healed" in (tmp_path / "n1.log").read_text())

    tier_run.step = free_after_a_failed_write
    seen = asyncio.run(tier_run.run())
    assert not without_delay_violations(seen) and seen["outcomes"]["served"] > 0
    logs = [(tmp_path / f"n{i}.log").read_text() for i in range(2)]
    assert "peers know a later start" in logs[0] and "peers know a later start" not in logs[1]
    assert "knowledge_healed" in logs[1]


def test_a_gateway_that_no_other_hears_loses_its_slices_and_one_that_ends_has_left(tmp_path):
    tier_run, seen = run_schedule(
        SMALL_TIER.replace("gateways=3", "gateways=4") + "membership=true seconds=12.0\n"
        'at 1.0 { link sender="0" to="all" cut=true both=true seconds=8.0; }\nat 10.0 { term "2"; }',
        tmp_path,
    )
    assert not without_delay_violations(seen)
    logs = [(tmp_path / f"n{i}.log").read_text() for i in range(4)]
    assert "what=slices_unsure" in logs[0] and "what=slices_sure" in logs[0]
    assert all("member=0 state=gone" in log for log in logs[1:])
    assert any("what=slices_taken member=0" in log for log in logs[1:])
    assert any("member=2 state=left" in log for log in (logs[1], logs[3]))
