"""How the processes of a gateway divide its limits: the claims of all of them stay within the limits."""

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corkdeal.net.budget import MEMORY_RESERVE, MIN_SHARED_BUDGET, budget_for
from corkdeal.net.descriptors import RESERVED
from corkdeal.net.process_limits import (
    MIN_CONNECTIONS,
    MIN_DESCRIPTORS_FOR_UPGRADE,
    MIN_MEMORY_FOR_UPGRADE,
    Allowance,
    GatewayLimits,
    OtherProcesses,
    Usage,
    allow,
    claim_of,
    first_claim,
    fits,
    whole_claim,
)
from corkdeal.persistence.claim_table import Claim, ClaimTable
from corkdeal.persistence.errors import FolderLockedError
from corkdeal.persistence.files import StateFolder

LIMITS = GatewayLimits(192 << 20, 1024)
IDLE = Usage(0, 0, 0, 0)


class Process:
    """A process that states its claims as `LimitSharing` does, and frees what it uses later or never."""

    def __init__(self, gateway):
        self.gateway, self.claim = gateway, first_claim()
        self.allowance = Allowance(0, 0)
        self.usage, self.is_draining = IDLE, False

    def update(self):
        processes = self.gateway.processes
        number = processes.index(self)
        others = OtherProcesses(
            [each.claim for each in processes[:number]], [each.claim for each in processes[number + 1 :]]
        )
        limits = self.gateway.limits
        self.allowance = allow(limits, self.usage, others, self.allowance, self.is_draining)
        self.claim = claim_of(self.allowance, self.usage)

    def use(self, fraction):
        """Use a fraction of what is allowed, or go on using what was."""
        open_now = max(self.usage.connections, int(self.allowance.connections * fraction))
        self.usage = dataclasses.replace(
            self.usage, connections=open_now, committed=int(self.allowance.budget * fraction)
        )

    def free(self):
        """Close what is open beyond the allowance."""
        open_now = min(self.usage.connections, self.allowance.connections)
        self.usage = dataclasses.replace(self.usage, connections=open_now)


class FakeGateway:
    """Processes of one gateway, the oldest first."""

    def __init__(self, limits):
        self.limits, self.processes = limits, []

    def start(self):
        newest = Process(self)
        if len(self.processes) < 2 and fits(self.limits, [newest.claim, *(p.claim for p in self.processes)]):
            self.processes.append(newest)

    def act(self, name, number, fraction):
        if name == "start":
            self.start()
        elif self.processes:
            process = self.processes[number % len(self.processes)]
            if name == "update":
                process.update()
            elif name == "use":
                process.use(fraction)
            elif name == "free":
                process.free()
            elif name == "drain":
                process.is_draining = True
            else:
                self.processes.remove(process)


STEPS = st.lists(
    st.tuples(
        st.sampled_from("start update update use free drain end".split()),
        st.integers(0, 1),
        st.floats(0.0, 1.0),
    ),
    max_size=60,
)


@given(STEPS, st.integers(MIN_MEMORY_FOR_UPGRADE >> 20, 400), st.integers(MIN_DESCRIPTORS_FOR_UPGRADE, 4096))
def test_the_claims_never_pass_the_limits_in_whatever_order_processes_start_update_and_end(
    steps, memory_mb, descriptors
):
    gateway = FakeGateway(GatewayLimits((memory_mb + 1) << 20, descriptors))
    for name, number, fraction in steps:
        gateway.act(name, number, fraction)
        assert fits(gateway.limits, [each.claim for each in gateway.processes])
        used = sum(RESERVED + each.usage.connections for each in gateway.processes)
        assert used <= descriptors


def test_a_process_alone_has_all_and_one_beside_another_half():
    full = Allowance(budget_for(LIMITS.memory), LIMITS.descriptors - RESERVED)
    assert allow(LIMITS, IDLE, OtherProcesses(), Allowance(0, 0), False) == full
    started = dataclasses.replace(first_claim(), is_started=True)
    old = allow(LIMITS, IDLE, OtherProcesses(younger=[started]), full, False)
    assert old.connections == (LIMITS.descriptors - 2 * RESERVED) // 2
    new = allow(LIMITS, IDLE, OtherProcesses(older=[claim_of(old, IDLE)]), Allowance(0, 0), False)
    assert new.budget == pytest.approx(old.budget, abs=1) and new.connections == old.connections
    assert fits(LIMITS, [claim_of(old, IDLE), claim_of(new, IDLE)])


def test_a_process_gives_up_the_least_while_its_successor_loads_its_program():
    full = allow(LIMITS, IDLE, OtherProcesses(), Allowance(0, 0), False)
    old = allow(LIMITS, IDLE, OtherProcesses(younger=[first_claim()]), full, False)
    assert old.connections == full.connections - RESERVED - MIN_CONNECTIONS
    assert fits(LIMITS, [claim_of(old, IDLE), first_claim()])


def test_a_draining_process_keeps_what_its_requests_need_and_its_successor_gets_the_rest():
    started = dataclasses.replace(first_claim(), is_started=True)
    before = allow(LIMITS, IDLE, OtherProcesses(younger=[started]), Allowance(1 << 40, 1 << 20), False)
    usage = Usage(0, 0, 3 << 20, 20)
    old = allow(LIMITS, usage, OtherProcesses(younger=[started]), before, is_draining=True)
    assert old == Allowance((3 << 20) + MIN_SHARED_BUDGET, 20)
    new = allow(LIMITS, IDLE, OtherProcesses(older=[claim_of(old, usage)]), Allowance(0, 0), False)
    assert new.budget > before.budget and new.connections == LIMITS.descriptors - 2 * RESERVED - 20


def test_what_a_process_still_uses_stays_in_its_claim():
    usage = Usage(150 << 20, 0, 0, 900)
    claim = claim_of(Allowance(MIN_SHARED_BUDGET, MIN_CONNECTIONS), usage)
    assert claim == Claim(True, 150 << 20, RESERVED + 900)


def test_beside_a_process_that_states_no_claim_only_the_least_is_used():
    unknown = OtherProcesses(older=[whole_claim(LIMITS)])
    least = allow(LIMITS, Usage(0, 5000, 0, 0), unknown, Allowance(0, 0), False)
    assert least == Allowance(MIN_SHARED_BUDGET + 5000, MIN_CONNECTIONS)
    assert whole_claim(LIMITS).memory == LIMITS.memory - MEMORY_RESERVE


@pytest.fixture
def folder(tmp_path):
    folder = StateFolder(str(tmp_path / "n0"))
    yield folder
    folder.close()


def test_claims_are_read_as_written_and_rows_of_ended_processes_are_used_again(folder):
    tables = [ClaimTable(folder, number) for number in range(1, 31)]
    for number, table in enumerate(tables, 1):
        with table.locked():
            table.write(Claim(False, number, 2 * number), running=[number - 1])
            table.write(Claim(True, number, 3 * number), running=[number - 1])
            claims = table.read()
        assert claims[number] == Claim(True, number, 3 * number)
        assert number == 1 or claims[number - 1] == Claim(True, number - 1, 3 * (number - 1))
        assert len(claims) <= 2


def test_only_one_process_at_a_time_has_the_table(folder):
    with ClaimTable(folder, 1).locked(), pytest.raises(FolderLockedError), ClaimTable(folder, 2).locked():
        pass
    with pytest.raises(OSError, match="not locked"):
        ClaimTable(folder, 1).read()


def test_a_row_that_was_written_in_part_does_not_count(folder):
    table = ClaimTable(folder, 1)
    with table.locked():
        table.write(Claim(True, 5, 6), running=[])
    path = f"{folder.path}/limits"
    with open(path, "ab") as file:
        file.write(b"\0\0\0\0\0\0\0\2\1")
    with table.locked():
        assert table.read() == {1: Claim(True, 5, 6)}


def test_a_table_full_of_running_processes_is_an_error(folder):
    for number in range(1, 17):
        table = ClaimTable(folder, number)
        with table.locked():
            table.write(first_claim(), running=range(1, 17))
    last = ClaimTable(folder, 17)
    with last.locked(), pytest.raises(OSError, match="full"):
        last.write(first_claim(), running=range(1, 17))
