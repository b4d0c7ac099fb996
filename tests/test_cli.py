"""The command line: what it prints, and its exit codes."""

import json
import os
import pathlib
import subprocess
import sys

import pytest
from click.testing import CliRunner

from corkdeal.cli import COMMANDS, main
from corkdeal.persistence.store import snapshot_name

from .persistence import samples

ROOT = pathlib.Path(__file__).parents[1]
CONFIG, OPTIONS = str(ROOT / "examples" / "config.json"), str(ROOT / "deploy" / "corkdeal.kdl")


def run(*arguments, code=0, env=None):
    result = CliRunner().invoke(
        main,
        [str(argument) for argument in arguments],
        env={"RELAY_CONFIG": None, "CORKDEAL_OPTIONS": None, **(env or {})},
    )
    assert result.exit_code == code, result.output
    return result.output


@pytest.fixture
def folder(tmp_path):
    for generation in (1, 2):
        (tmp_path / snapshot_name(generation)).write_bytes(samples.data(generation))
    return tmp_path


def test_every_command_has_help_and_only_its_own_module_is_imported():
    for name in COMMANDS:
        assert "Usage:" in run(name, "--help")
    code = "import sys, corkdeal.cli as c\nc.main(['-h'], standalone_mode=False)\nprint(list(sys.modules))"
    output = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True
    ).stdout
    assert "knowledge" in output and not any(name in output for name in ("'msgspec'", "'twisted'", "'kdl'"))


def test_completion_is_offered():
    result = subprocess.run(
        [sys.executable, "-m", "corkdeal"],
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, "_CORKDEAL_COMPLETE": "bash_source"},
    )
    assert "complete" in result.stdout


def test_check_reports_each_fault_with_its_position(tmp_path):
    assert "switched on: knowledge, log" in run("check", "--config", CONFIG, "--options", OPTIONS)
    bad = tmp_path / "bad.kdl"
    bad.write_text('log\nknowledge path="x"\n')
    assert f"{bad}:2:16: knowledge.path: must be an absolute path" in run("check", "--options", bad, code=1)
    config = tmp_path / "config.json"
    config.write_text(json.dumps({**json.loads(pathlib.Path(CONFIG).read_text()), "listen": "x"}))
    output = json.loads(run("check", "--config", config, "--options", bad, "--json", code=1))
    assert [(f["key"], f["line"]) for f in output["faults"]] == [("listen", 0), ("knowledge.path", 2)]
    run("check", code=2)
    assert "good" in run("check", env={"CORKDEAL_OPTIONS": OPTIONS})


def test_check_warns_of_limits_that_two_processes_of_an_upgrade_may_pass(tmp_path):
    config = tmp_path / "config.json"
    raw = json.loads(pathlib.Path(CONFIG).read_text())
    config.write_text(json.dumps({**raw, "limits": {"memory_mb": 64, "sockets": 60}}))
    text = run("check", "--config", config)
    assert "warning: limits.memory_mb: below 74 " in text and "warning: limits.sockets: below 64 " in text
    config.write_text(json.dumps({**raw, "limits": {"memory_mb": 74, "sockets": 64}}))
    assert json.loads(run("check", "--config", config, "--json"))["warnings"] == []


def test_show_prints_ages_and_weights(folder):
    output = json.loads(run("knowledge", "show", folder, "--json"))
    assert output["generation"] == 2 and output["accounts"][0]["customer"] == "0000000000000007"
    assert output["servers"][0]["server"] == "s-1" and output["servers"][0]["weight"] == 0
    text = run("knowledge", "show", folder / snapshot_name(1))
    assert "servers (1):" in text and "s-1" in text and "accounts (1):" in text


def test_verify_reports_faults_and_their_positions(folder):
    run("knowledge", "verify", folder)
    intact = samples.data(3)
    (folder / snapshot_name(3)).write_bytes(intact[:-1])
    (folder / snapshot_name(4)).write_bytes(intact)
    (folder / snapshot_name(5)).write_bytes((samples.DATA / "format-4.know").read_bytes())
    output = json.loads(run("knowledge", "verify", folder, "--json", code=1))
    assert [f["good"] for f in output] == [True, True, False, False, False]
    assert (
        "byte 48" in output[2]["fault"]
        and "byte 16" in output[3]["fault"]
        and "format 4" in output[4]["fault"]
    )
    os.mkfifo(folder / "pipe")
    assert "no regular file" in run("knowledge", "verify", folder / "pipe", code=1)


def test_merge_and_age_write_new_files_only(folder):
    other, out = folder / "other.know", folder / snapshot_name(3)
    other.write_bytes(samples.data(1, accounts={9: samples.ACCOUNT}))
    assert "1 servers, 2 accounts" in run("knowledge", "merge", folder, other, "--out", out)
    assert "exists" in run("knowledge", "merge", folder, other, "--out", out, code=1)
    run("knowledge", "verify", out)
    before = json.loads(run("knowledge", "show", out, "--json"))
    later = json.loads(run("knowledge", "age", out, "--by", "100", "--write", folder / "old.know", "--json"))
    older = json.loads(run("knowledge", "show", folder / "old.know", "--json"))
    for output in (later, older):
        assert output["age"] - before["age"] == pytest.approx(100, abs=10)
    run("knowledge", "show", folder / "none", code=2)
    assert "byte 0" in run("knowledge", "show", CONFIG, code=1)


def test_version_and_serve_with_bad_files(tmp_path):
    assert json.loads(run("version", "--json"))["knowledge_format"] == 3
    run("serve", code=2)
    bad = tmp_path / "bad.kdl"
    bad.write_text('log {\n  level "loud"\n  format 3\n}')
    result = subprocess.run(
        [sys.executable, "-m", "corkdeal", "serve", "--config", CONFIG, "--options", str(bad)],
        capture_output=True,
        text=True,
        cwd=ROOT,
    )
    assert result.returncode == 2 and result.stderr.splitlines() == [
        f"corkdeal: {bad}: line 2, column 9: log.level: must be one of debug, info, warn, error, not 'loud'",
        f"corkdeal: {bad}: line 3, column 10: log.format: must be a string, not 3",
    ]


def test_halls_prints_the_zone_of_an_address_and_the_tiers_of_a_zone(tmp_path):
    path = tmp_path / "o.kdl"
    path.write_text('halls {\n hall "n" { net "10.1.0.0/16"; }\n hall "e" { net "10.2.0.0/16"; }\n}')
    assert json.loads(run("halls", "where", "10.2.3.4", "--options", path, "--json")) == {"10.2.3.4": "e"}
    assert "10.3.0.1 in no zone" in run("halls", "where", "10.1.0.1", "10.3.0.1", "--options", path, code=1)
    assert run("halls", "tiers", "e", "--options", path) == "0: e\n1: n\n"
    assert "unknown zone" in run("halls", "tiers", "x", "--options", path, code=1)
    assert "has no halls node" in run("halls", "tiers", "x", "--options", OPTIONS, code=1)
