"""The log tells when the memory budget comes under pressure, and what holds it."""

import types

import pytest

from corkdeal import logs
from corkdeal.net.budget import Budget
from corkdeal.net.memory_log import MIN_INTERVAL, MemoryLog
from corkdeal.net.process_memory import ProcessMemory
from corkdeal.net.resp import MAX_VALUE


class Holder:
    """A holder of the budget."""

    held_bytes = 0


@pytest.fixture
def lines():
    written = []
    logs.configure(lambda level, name, fields: written.append((name, fields)))
    yield written
    logs.configure(None)


def test_each_change_of_pressure_is_one_line_and_not_too_many(lines):
    budget, clock = Budget(8 * MAX_VALUE), types.SimpleNamespace(time=100.0)
    log = MemoryLog(budget, lambda: clock.time, lambda: 7, lambda: 11, lambda: ProcessMemory(1000, 600))
    holder = Holder()
    for size in (0, budget.crowded_mark + 1, budget.high_mark + 1, budget.limit, budget.limit, 0):
        budget.set_held(holder, size)
        log.update()
        log.update()
        clock.time += MIN_INTERVAL
    assert [fields["pressure"] for _, fields in lines] == ["crowded", "full", "exhausted", "none"]
    assert [fields["before"] for _, fields in lines] == ["none", "crowded", "full", "exhausted"]
    assert lines[0][1]["held"] == budget.crowded_mark + 1 and lines[0][1]["names"] == 7
    assert lines[0][1]["resident"] == 1000 and lines[0][1]["anonymous"] == 600
    assert lines[0][1]["backend_buffers"] == 11 and lines[0][1]["answers_waiting"] == 0
    clock.time -= MIN_INTERVAL / 2
    budget.set_held(holder, budget.limit)
    log.update()
    assert len(lines) == 4


def test_a_process_that_grows_is_logged_without_pressure(lines):
    clock, process = types.SimpleNamespace(time=100.0), types.SimpleNamespace(resident=1000)
    log = MemoryLog(
        Budget(8 * MAX_VALUE),
        lambda: clock.time,
        lambda: 0,
        lambda: 0,
        lambda: ProcessMemory(process.resident, 0),
    )
    for process.resident in (1000, 1010, 1070, 1080, 1000, 1070, 1200):
        log.update()
        clock.time += MIN_INTERVAL
    assert [fields["resident"] for _, fields in lines] == [1070, 1200]
