"""Log lines: one event with its fields, as JSON or text, and no work for disabled levels."""

import io
import json
import pathlib
import re

import pytest

from corkdeal import logs
from corkdeal.logs import structured
from corkdeal.logs.events import EVENTS

ROOT = pathlib.Path(__file__).parents[1] / "corkdeal"


@pytest.fixture
def out():
    yield io.BytesIO()
    logs.configure(None)


def test_a_json_line_is_one_document_however_odd_its_fields(out):
    logs.configure(structured.make_sink("json", "n0", out))
    logs.event("serving", name="n0", at="127.0.0.1:1")
    logs.event("reload_refused", error='two\nlines \u00e4 "quoted"')
    logs.event("action_failed", action=object, trace="a\nb")
    first, second, third = map(json.loads, out.getvalue().splitlines())
    assert (first["event"], first["level"], first["gateway"], first["at"]) == (
        "serving",
        "info",
        "n0",
        "127.0.0.1:1",
    )
    assert (
        second["error"] == 'two\nlines \u00e4 "quoted"'
        and second["level"] == "error"
        and "timestamp" in third
    )


def test_a_text_line_is_one_line(out):
    logs.configure(structured.make_sink("text", "n0", out))
    logs.event("reload_refused", error="two\nlines\r and more")
    (line,) = out.getvalue().splitlines()
    assert b"event=reload_refused" in line and b'error="two\\nlines' in line


def test_a_line_whose_level_is_off_costs_no_formatting(out):
    logs.configure(structured.make_sink("json", "n0", out), "error")

    class Costly:
        def __str__(self):
            raise AssertionError("formatted")

    logs.event("serving", name=Costly())
    assert not out.getvalue() and not logs.is_enabled("serving") and logs.is_enabled("decisions_failed")
    with pytest.raises(KeyError):
        logs.event("no such event")


def test_every_event_written_is_in_the_table_and_the_other_way_round():
    written = set()
    for path in ROOT.rglob("*.py"):
        written |= set(
            re.findall(r"logs\.event\(\s*\"([a-z_]+)\"|(?<![.\w])event\(\"([a-z_]+)\"", path.read_text())
        )
    assert {a or b for a, b in written} == set(EVENTS)


def test_a_library_s_warnings_become_events(out):
    from twisted.logger import LogLevel

    logs.configure(structured.make_sink("json", "n0", out))
    structured.observe_library_event({"log_level": LogLevel.info, "log_format": "quiet"})
    structured.observe_library_event(
        {"log_level": LogLevel.warn, "log_format": "odd {x}", "x": 3, "log_namespace": "twisted"}
    )
    (line,) = map(json.loads, out.getvalue().splitlines())
    assert (line["event"], line["source"], line["text"]) == ("library", "twisted", "odd 3")
