"""The adapter: replies to batches, and malformed input."""

import io
import pathlib
import re
import struct
import subprocess
import sys
import tomllib

import pytest

from corkdeal.decisions.events import Status
from corkdeal.simulator import adapter
from corkdeal.simulator.decoding import decode_batch

SETTINGS = """balancers=2
me=0
classes.count=1
classes.0.aim_us=1000000
classes.0.deadline_us=3000000
classes.0.semantics=pure
tiers_of_service.count=1
tiers_of_service.0.quota_rate=5.0
tiers_of_service.0.store_size=20.0
telemetry.columns=outstanding,recent_ms
some.new_setting=whatever
"""


def batch(*records, clock=5_000_000):
    body = struct.pack("<QI", clock, len(records)) + b"".join(records)
    return struct.pack("<I", len(body)) + body


def gateway_started(text=SETTINGS, seed=9):
    raw = text.encode()
    return struct.pack("<BIQI", 0, 0, seed, len(raw)) + raw


def endpoint_update():
    entry = struct.pack("<QHfBBH6s", 0, 0, 1.0, 0, 1, 0, b"\x0a\x00\x00\x01\x88\x13")
    return struct.pack("<BIBII", 1, 0, 2, 1, 1) + entry


def request_record(request_id=77):
    return struct.pack("<BIQfffBIBIQ", 2, 0, request_id, 1.0, 0.0, 2.0, 0, 0, 0, 3_000_000, 5)


def replies_to(data):
    sink = io.BytesIO()
    adapter.serve(io.BytesIO(data), sink)
    return sink.getvalue()


def test_request_is_sent():
    reply = replies_to(batch(gateway_started(), endpoint_update(), request_record()))
    assert struct.pack("<BIQ6s", 0, 0, 77, b"\x0a\x00\x00\x01\x88\x13") in reply


def test_same_input_gives_same_output():
    data = batch(gateway_started(), endpoint_update(), *[request_record(i) for i in range(20)])
    assert replies_to(data) == replies_to(data)


def test_empty_batch():
    assert replies_to(bytes.fromhex("0c0000005a5c80000000000000000000")) == bytes.fromhex("0400000000000000")


def test_documented_completed_record():
    record = bytes.fromhex(
        "04030000 00c4913a5d85250300 00 0a124a078b13 00 44480000 01 5600 0300 03"
        "0000e04000000c4300006841".replace(" ", "")
    )
    columns = {3: ("inflight", "qps", "latency_ms")}
    [entry] = decode_batch(struct.pack("<QI", 1, 1) + record, columns).events
    ended = entry.event
    assert entry.gateway == 3 and ended.status is Status.OK and ended.final and ended.metered_use == 0.85
    assert ended.true_units == 3 and ended.report == {"inflight": 7.0, "qps": 140.0, "latency_ms": 14.5}


@pytest.mark.parametrize(
    "data, word",
    [
        (batch(gateway_started(), endpoint_update(), request_record())[:-3], "truncated"),
        (batch(b"\x63\x00\x00\x00\x00"), "unknown event code 99"),
        (batch(request_record()), "never started"),
        (b"\x01\x00", "truncated"),
        (batch(gateway_started(SETTINGS.replace("balancers=2\n", ""))), "balancers"),
        (batch(gateway_started(SETTINGS.replace("aim_us=1000000", "aim_us=soon"))), "classes.0.aim_us"),
        (batch(gateway_started(SETTINGS.replace("semantics=pure", "semantics=odd"))), "classes.0.semantics"),
        (batch(gateway_started(SETTINGS + "rules.fall_us=0\n")), "rules.fall_us"),
    ],
)
def test_malformed_input_ends_with_one_plain_line(data, word):
    process = subprocess.run(
        [sys.executable, "-m", "corkdeal.simulator"],
        input=data,
        capture_output=True,
        cwd=pathlib.Path(__file__).parents[2],
        check=False,
    )
    assert process.returncode not in (0, None) and process.stdout == b""
    lines = process.stderr.decode().splitlines()
    assert len(lines) == 1 and word in lines[0]


def test_exception_in_the_decisions_is_reported(monkeypatch):
    monkeypatch.setattr(adapter.Gateway, "handle", lambda *a: 1 / 0)
    reply = replies_to(batch(gateway_started(), endpoint_update()))
    assert b"\x09\x00\x00\x00\x00" in reply and b"ZeroDivision" in reply


def test_readme_example_runs(capsys):
    text = (pathlib.Path(__file__).parents[2] / "README.md").read_text()
    exec(re.search(r"```python\n(.*?)```", text, re.S).group(1), {})
    assert "StartAttempt" in capsys.readouterr().out


def test_deploy_file_names_all_modules_of_the_decisions_and_a_folder_that_exists():
    root = pathlib.Path(__file__).parents[2]
    deploy = tomllib.loads((root / "deploy" / "balancer.toml").read_text())
    modules = (path.relative_to(root) for path in (root / "corkdeal" / "decisions").glob("*.py"))
    assert deploy["policy"] == sorted(str(path) for path in modules if path.name != "__init__.py")
    assert deploy["node"] and all((root / name).is_dir() for name in deploy["node"])
