"""The schedules of tier experiments: the order of their steps, and the position of errors."""

import pathlib

import pytest

from corkdeal.experiment import schedule
from corkdeal.options import OptionsError

ROOT = pathlib.Path(__file__).parents[2]


def test_steps_come_in_the_order_of_their_times_and_as_they_stand_within_one():
    parsed = schedule.parse(
        'timeline "again" begin=2.0 every=3.0 repeat=2 { at 0.5 { start "down"; kill "0"; }; }\n'
        'at 3 { stop "1"; }'
    )
    assert [(s.second, s.line, s.kind, s.what.gateways) for s in schedule.steps(parsed)] == [
        (2.5, "again", "start", "down"),
        (2.5, "again", "kill", "0"),
        (3.0, "", "stop", "1"),
        (5.5, "again", "start", "down"),
        (5.5, "again", "kill", "0"),
    ]


@pytest.mark.parametrize(
    ("text", "line", "column", "node", "message"),
    [
        ("tier gateways=21", 1, 15, "tier.gateways", "between 2 and 20"),
        ("tier\ntier", 2, 1, "tier", "second time"),
        ("at 1.0 { explode; }", 1, 10, "at.explode", "known are clock, continue, door"),
        ('at 1.0 { kill "5"; }', 1, 10, "kill.gateways", "there are 5"),
        ('at 1.0 { kill "0%"; }', 1, 10, "kill.gateways", "names nobody"),
        ("at 1.0 { link loss=1.5; }", 1, 20, "at.link.loss", "between 0.0 and 1.0"),
        ('at 1.0 { folders what="empty"; }', 1, 10, "folders", "knowledge=true"),
        ("at 1.0 { door late=1.0; }", 1, 10, "door.late", "only discovery"),
        ('at 99.0 { kill "0"; }', 1, 11, "kill", "after the end at 20 s"),
        ('timeline "x" repeat=2', 1, 1, "timeline", "`every`"),
    ],
)
def test_a_fault_is_told_with_its_place(text, line, column, node, message):
    with pytest.raises(OptionsError) as caught:
        schedule.parse(text)
    fault = caught.value.faults[0]
    assert (fault.line, fault.column, fault.node) == (line, column, node) and message in fault.text


def test_all_schedules_that_come_with_the_program_are_good():
    paths = sorted((ROOT / "scenarios").glob("*.kdl"))
    assert paths and all(schedule.load(str(path)).tier for path in paths)
