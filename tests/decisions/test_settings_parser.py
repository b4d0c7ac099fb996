"""Unit tests of the settings parser: each setting type, the defaults and the error messages."""

import dataclasses

import pytest

from corkdeal.decisions import settings_parser
from corkdeal.decisions.settings import DeduplicationScope, Effect, Plan, RequestClass, Settings
from corkdeal.decisions.settings_parser import SettingsError, parse_settings, parse_settings_text
from corkdeal.errors import CorkdealError

REQUIRED_SETTINGS = {
    "balancers": "2",
    "me": "1",
    "classes.count": "1",
    "classes.0.aim_us": "250000",
    "classes.0.deadline_us": "3000000",
    "tiers_of_service.count": "1",
}


def parsed(changes=None):
    """Parse the required settings with changes; a value of None removes a path."""
    changed = REQUIRED_SETTINGS | (changes or {})
    return parse_settings({path: value for path, value in changed.items() if value is not None})


def error_message(changes):
    """Return the error message for these changes."""
    with pytest.raises(SettingsError) as caught:
        parsed(changes)
    return str(caught.value)


def test_absent_settings_get_the_defaults_of_the_records():
    assert parsed() == Settings(
        gateway_index=1,
        gateway_count=2,
        classes=(RequestClass(latency_objective=0.25, deadline=3.0, effect=Effect.NOT_IDEMPOTENT),),
        plans=(Plan(),),
    )


def test_each_field_of_the_records_is_filled_by_one_row():
    filled = {
        RequestClass: settings_parser.CLASS_SETTINGS,
        Plan: settings_parser.PLAN_SETTINGS,
        Settings: (*settings_parser.GATEWAY_SETTINGS, *settings_parser.RULE_SETTINGS),
    }
    for record, rows in filled.items():
        names = [row.field_name for row in rows]
        expected = {field.name for field in dataclasses.fields(record)} - {"classes", "plans"}
        assert len(names) == len(set(names)) and set(names) == expected
        assert len({row.path for row in rows}) == len(rows)


# A count of 10**9 kept the program in its start, making up plans, until memory ran out.
@pytest.mark.parametrize("path", ["classes.count", "tiers_of_service.count"])
def test_a_count_beyond_the_number_of_settings_is_an_error_at_once(path):
    assert (
        error_message({path: "1000000000"}) == f"setting {path} is over the number of settings: '1000000000'"
    )
    assert error_message({path: "8"}).startswith(f"setting {path} is over")


def test_microseconds_become_seconds():
    settings = parsed({"rules.ask_every_us": "2500000", "granularity_us": "500"})
    assert (settings.poll_interval, settings.tick) == (2.5, 0.0005)


def test_whole_numbers_lose_their_fraction():
    assert parsed({"policy_limits.max_attempts": "3.9"}).max_attempts == 3


@pytest.mark.parametrize("raw, is_set", [("true", True), ("false", False), ("1", False), (None, False)])
def test_a_flag_is_set_by_true_alone(raw, is_set):
    assert parsed({"policy_limits.cancel": raw}).may_cancel is is_set


@pytest.mark.parametrize("raw, is_pushed", [("pushed", True), ("on_request", False), (None, True)])
def test_endpoint_list_is_pushed_unless_on_request(raw, is_pushed):
    assert parsed({"membership_mode": raw}).is_endpoint_list_pushed is is_pushed


@pytest.mark.parametrize(
    "raw, effect",
    [
        ("pure", Effect.IDEMPOTENT),
        ("token", Effect.IDEMPOTENCY_KEY),
        ("side_effect", Effect.NOT_IDEMPOTENT),
        ("", Effect.NOT_IDEMPOTENT),
    ],
)
def test_semantics_are_effects(raw, effect):
    assert parsed({"classes.0.semantics": raw}).classes[0].effect is effect


def test_group_is_the_deduplication_scope():
    settings = parsed({"classes.0.group": "cell", "classes.0.window_us": "4000000"})
    assert settings.classes[0].deduplication_scope is DeduplicationScope.CELL
    assert settings.classes[0].deduplication_window == 4.0


def test_load_report_columns_get_our_names_and_unknown_ones_stay():
    settings = parsed({"telemetry.columns": "outstanding,recent_ms,,heat"})
    assert settings.report_fields == ("inflight", "latency_ms", "heat")


def test_lists_of_words_leave_out_empty_words():
    settings = parsed({"failure_domains": "north,,south", "host_types": ""})
    assert (settings.zones, settings.kinds) == (("north", "south"), ())


def test_numbered_records_keep_their_order():
    settings = parsed(
        {
            "tiers_of_service.count": "2",
            "tiers_of_service.0.quota_rate": "5.0",
            "tiers_of_service.0.name": "basic",
            "tiers_of_service.1.quota_rate": "50.0",
            "tiers_of_service.1.max_out": "7",
        }
    )
    assert settings.plans == (Plan(rate=5.0, name="basic"), Plan(rate=50.0, max_in_flight=7))


@pytest.mark.parametrize("path", REQUIRED_SETTINGS)
def test_a_required_setting_that_is_missing_is_named(path):
    assert error_message({path: None}) == f"setting {path} is missing"


@pytest.mark.parametrize(
    "path, value",
    [
        ("balancers", "0"),
        ("classes.count", "0"),
        ("tiers_of_service.count", "nan"),
        ("classes.0.aim_us", "0"),
        ("classes.0.deadline_us", "inf"),
        ("classes.0.semantics", "odd"),
        ("classes.0.group", "town"),
        ("tiers_of_service.0.quota_rate", "-1"),
        ("rules.fall_us", "0"),
        ("rules.fall_multiple", "-0.5"),
    ],
)
def test_a_value_out_of_range_is_named_and_quoted(path, value):
    assert error_message({path: value}) == f"setting {path} is invalid: {value!r}"


def test_what_is_no_number_is_quoted_up_to_40_characters():
    assert error_message({"me": "x" * 60}) == f"setting me is not a number: {'x' * 40!r}"


def test_the_first_wrong_setting_in_the_order_of_the_tables_is_reported():
    late = {"rules.fall_us": "0"}
    assert "classes.count" in error_message(late | {"classes.count": None, "balancers": None})
    assert "balancers" in error_message(late | {"balancers": None, "classes.0.aim_us": None})
    assert "classes.0.aim_us" in error_message(late | {"classes.0.aim_us": None})


def test_errors_are_errors_of_the_project():
    assert issubclass(SettingsError, CorkdealError)


def test_text_is_lines_of_path_and_value():
    text = "\n".join(f"{path}={value}" for path, value in REQUIRED_SETTINGS.items())
    assert parse_settings_text(text) == parsed()
    assert parse_settings_text(f"me=5\n{text}\nme=0").gateway_index == 0


def test_text_without_equals_sign_and_unknown_paths_are_skipped():
    text = "\n".join(f"{path}={value}" for path, value in REQUIRED_SETTINGS.items())
    named = parse_settings_text(f"{text}\na remark\nsome.new_setting=7\nclasses.0.name=a=b\n")
    assert named.classes[0].name == "a=b"
