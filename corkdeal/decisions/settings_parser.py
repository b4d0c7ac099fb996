"""Parser of settings: turns text values by path into a validated `Settings`.

Paths and units are those that operators write and that the simulator sends. The tables below are the only
place that maps them to the fields of `corkdeal.decisions.settings`; unknown paths are ignored. Times are
given in microseconds and converted to seconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from ..errors import CorkdealError
from .settings import DeduplicationScope, Effect, Plan, RequestClass, Settings

MICROSECONDS_PER_SECOND = 1_000_000
MAX_QUOTED_CHARACTERS = 40  # of an invalid value, in an error message


class SettingsError(CorkdealError):
    """A setting is missing or invalid; the message names its path."""


def parse_number(raw: str | None, path: str, default: float | None, minimum: float) -> float:
    """Parse a finite number of at least `minimum`; a setting without a default is required."""
    if raw is None:
        if default is None:
            raise SettingsError(f"setting {path} is missing")
        return default
    try:
        value = float(raw)
    except ValueError as error:
        raise SettingsError(f"setting {path} is not a number: {raw[:MAX_QUOTED_CHARACTERS]!r}") from error
    if not math.isfinite(value) or value < minimum:
        raise SettingsError(f"setting {path} is invalid: {raw[:MAX_QUOTED_CHARACTERS]!r}")
    return value


@dataclass(frozen=True)
class Setting:
    """One row of a table: the path of a setting and the field that it fills; each type is a subclass."""

    path: str
    field_name: str

    def parse(self, raw: str | None, path: str) -> object:
        """Return the field's value; `raw` is None if the setting is absent, `path` is for error messages."""
        raise NotImplementedError


@dataclass(frozen=True)
class Number(Setting):
    """A finite number; required if it has no default."""

    default: float | None = None
    minimum: float = 0.0

    def parse(self, raw: str | None, path: str) -> float:
        """Return the number."""
        return parse_number(raw, path, self.default, self.minimum)


@dataclass(frozen=True)
class WholeNumber(Number):
    """An integer; a fraction is truncated."""

    def parse(self, raw: str | None, path: str) -> int:
        """Return the truncated number."""
        return int(parse_number(raw, path, self.default, self.minimum))


@dataclass(frozen=True)
class Microseconds(Number):
    """A time; the value, the default and `minimum` are in microseconds."""

    def parse(self, raw: str | None, path: str) -> float:
        """Return the time in seconds."""
        return parse_number(raw, path, self.default, self.minimum) / MICROSECONDS_PER_SECOND


@dataclass(frozen=True)
class Flag(Setting):
    """True for the word `true`; false for anything else or if absent."""

    def parse(self, raw: str | None, path: str) -> bool:
        """Return whether the flag is set."""
        return raw == "true"


@dataclass(frozen=True)
class FlagUnless(Setting):
    """False for one given word; true for anything else or if absent."""

    word: str

    def parse(self, raw: str | None, path: str) -> bool:
        """Return whether the value differs from the given word."""
        return raw != self.word


@dataclass(frozen=True)
class Choice(Setting):
    """One of a set of words; an empty value is the default."""

    choices: Mapping[str, object]
    default: str

    def parse(self, raw: str | None, path: str) -> object:
        """Return the value of the word."""
        word = raw or self.default
        if word not in self.choices:
            raise SettingsError(f"setting {path} is invalid: {word[:MAX_QUOTED_CHARACTERS]!r}")
        return self.choices[word]


@dataclass(frozen=True)
class Text(Setting):
    """Any text; empty if absent."""

    def parse(self, raw: str | None, path: str) -> str:
        """Return the text unchanged."""
        return raw or ""


@dataclass(frozen=True)
class WordList(Setting):
    """A comma-separated list of words, with those in `names` replaced."""

    names: Mapping[str, str] = field(default_factory=dict)

    def parse(self, raw: str | None, path: str) -> tuple[str, ...]:
        """Return the nonempty words in order."""
        words = (raw or "").split(",")
        return tuple(self.names.get(word, word) for word in words if word)


EFFECTS = {
    "pure": Effect.IDEMPOTENT,
    "token": Effect.IDEMPOTENCY_KEY,
    "side_effect": Effect.NOT_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {scope.value: scope for scope in DeduplicationScope}
LOAD_REPORT_FIELDS = {
    "outstanding": "inflight",
    "backlog": "queue",
    "utilization": "util",
    "recent_ms": "latency_ms",
    "throughput": "qps",
    "errors_per_s": "eps",
}

CLASSES_PATH = "classes"
PLANS_PATH = "tiers_of_service"

# One row per setting: its path, the field it fills, its default and its minimum, in the unit of the path.
# Settings are checked in the order of the rows.
GATEWAY_SETTINGS: tuple[Setting, ...] = (
    WholeNumber("balancers", "gateway_count", minimum=1),
    WholeNumber("me", "gateway_index"),
    WholeNumber("zone", "zone", default=0),
)
CLASS_SETTINGS: tuple[Setting, ...] = (  # below `classes.<index>.`
    Microseconds("aim_us", "latency_objective", minimum=1),
    Microseconds("deadline_us", "deadline", minimum=1),
    Number("points", "priority_weight", default=1.0),
    Number("late_share", "late_share", default=0.0),
    Choice("semantics", "effect", EFFECTS, default="side_effect"),
    Choice("group", "deduplication_scope", DEDUPLICATION_SCOPES, default="all"),
    Microseconds("window_us", "deduplication_window", default=0),
    Flag("streaming", "is_streaming"),
    Number("aim_stretch", "latency_objective_stretch", default=0.0),
    Text("name", "name"),
)
PLAN_SETTINGS: tuple[Setting, ...] = (  # below `tiers_of_service.<index>.`
    Number("quota_rate", "rate", default=0.0),
    Number("store_size", "burst", default=0.0),
    WholeNumber("max_out", "max_in_flight", default=0),
    Number("value_factor", "price", default=1.0),
    Number("over_worth", "over_quota_weight", default=0.0),
    Number("over_cost", "over_quota_cost", default=0.0),
    Number("never_over_rate", "hard_limit_rate", default=0.0),
    Number("hard_burst", "hard_limit_burst", default=0.0),
    Number("ceiling_slack", "hard_limit_slack", default=0.0),
    Text("name", "name"),
)
RULE_SETTINGS: tuple[Setting, ...] = (
    Microseconds("granularity_us", "tick", default=1_000),
    FlagUnless("membership_mode", "is_endpoint_list_pushed", word="on_request"),
    Microseconds("rules.ask_every_us", "poll_interval", default=10_000_000),
    WordList("telemetry.columns", "report_fields", LOAD_REPORT_FIELDS),
    WholeNumber("policy_limits.max_attempts", "max_attempts", default=1),
    Flag("policy_limits.cancel", "may_cancel"),
    Flag("policy_limits.may_probe", "may_check_health"),
    Flag("policy_limits.peers", "may_message_peers"),
    Flag("policy_limits.retry_after", "may_send_retry_after"),
    Microseconds("policy_limits.max_retry_after_us", "max_retry_after", default=0),
    Flag("client_habits.marks_retry", "has_retry_marks"),
    Microseconds("policy_limits.connect_timeout_us", "connect_timeout", default=250_000),
    Microseconds("policy_limits.conn_idle_us", "idle_timeout", default=30_000_000),
    WordList("failure_domains", "zones"),
    WordList("host_types", "kinds"),
    Flag("family_info.counter", "has_counter"),
    Microseconds("family_info.counter_timeout_us", "counter_timeout", default=0),
    Microseconds("family_info.meter_us", "meter_period", default=0),
    Number("family_info.peer_intake", "peer_message_rate", default=0.0),
    Flag("family_info.post_paid", "is_post_paid"),
    Number("family_info.units_top", "max_units", default=1.0),
    Microseconds("rules.answer_slack_us", "answer_slack", default=0),
    Microseconds("rules.drain_grace_us", "drain_grace", default=0),
    Number("rules.fall_multiple", "overload_multiple", default=2.0),
    Microseconds("rules.fall_us", "overload_window", default=1_000_000, minimum=1),
    Number("rules.cold_share", "initial_capacity", default=0.1),
    Microseconds("rules.warm_within_us", "warm_up_time", default=20_000_000),
)


def parse_fields(values: Mapping[str, str], settings: Iterable[Setting], prefix: str = "") -> dict[str, Any]:
    """Return the fields that a table fills; `prefix` is prepended to each of its paths."""
    fields = {}
    for setting in settings:
        path = prefix + setting.path
        fields[setting.field_name] = setting.parse(values.get(path), path)
    return fields


def parse_count(values: Mapping[str, str], path: str) -> int:
    """Return the number of numbered records below a path; at least one, and no more than there are settings.

    All settings of a record may have defaults, so a wrong count would make up any number of records.
    """
    count_path = f"{path}.count"
    raw = values.get(count_path)
    count = int(parse_number(raw, count_path, default=None, minimum=1))
    if count > len(values):
        raise SettingsError(
            f"setting {count_path} is over the number of settings: {raw!r:.{MAX_QUOTED_CHARACTERS}}"
        )
    return count


def parse_settings(values: Mapping[str, str]) -> Settings:
    """Parse settings from values by path; raises `SettingsError` for the first invalid path."""
    class_count = parse_count(values, CLASSES_PATH)
    plan_count = parse_count(values, PLANS_PATH)
    gateway_fields = parse_fields(values, GATEWAY_SETTINGS)
    classes = tuple(
        RequestClass(**parse_fields(values, CLASS_SETTINGS, f"{CLASSES_PATH}.{index}."))
        for index in range(class_count)
    )
    plans = tuple(
        Plan(**parse_fields(values, PLAN_SETTINGS, f"{PLANS_PATH}.{index}.")) for index in range(plan_count)
    )
    rule_fields = parse_fields(values, RULE_SETTINGS)
    return Settings(classes=classes, plans=plans, **gateway_fields, **rule_fields)


def parse_settings_text(text: str) -> Settings:
    """Parse settings from lines of `path=value`; lines without an equals sign are skipped."""
    values = {}
    for line in text.splitlines():
        path, separator, value = line.partition("=")
        if separator:
            values[path] = value
    return parse_settings(values)
