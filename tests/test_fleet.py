"""Metrics summed over the logs of a fleet: by second, over restarts, in both log formats."""

import io
import pathlib

import pytest

from corkdeal import logs
from corkdeal.experiment import fleet_metrics
from corkdeal.logs import structured


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("3.500 2026-12-01T22:00:00+0000 [corkdeal#info] figures asked=3 now_slow=1.25", (3.5, 3.0)),
        ("2026-12-01T01:02:03+0000 [corkdeal#info] figures asked=3", (3723.0, 3.0)),
        ("2026-12-01T01:02:03+0000 [corkdeal#info] refused asked=3", None),
        ("2026-12-01T01:02:03+0000 [corkdeal#info] decisions_message text='no figures asked=1'", None),
        ('{"event": "figures", "asked": 3', None),
    ],
)
def test_only_lines_of_the_figures_event_are_parsed(text, expected):
    parsed = fleet_metrics.parse_metrics_line(text)
    assert (parsed and (parsed[0], parsed[1]["asked"])) == expected


def test_a_json_line_is_parsed_as_well():
    out = io.BytesIO()
    logs.configure(structured.make_sink("json", "n0", out))
    logs.event("figures", asked=7, now_slow=1.5)
    logs.configure(None)
    assert fleet_metrics.parse_metrics_line(out.getvalue().decode())[1] == {"asked": 7.0, "now_slow": 1.5}


def test_counters_are_summed_by_second_over_gateways_and_restarts(tmp_path):
    def write(name, rows):
        text = "".join(
            f"{at:.3f} x [corkdeal#info] figures asked={a} busy={b} now_slow={s}\n" for at, a, b, s in rows
        )
        pathlib.Path(tmp_path, name).write_text("some other line\n" + text)

    write("n0.log", [(1.0, 0, 0, 1.0), (2.0, 10, 1, 1.0), (3.2, 2, 0, 2.0), (4.0, 5, 5, 2.0)])
    write("n1.log", [(1.5, 0, 0, 1.0), (2.5, 7, 0, 3.0)])
    totals = fleet_metrics.sum_logs(tmp_path)
    rows = {row["second"]: row for row in totals["rows"]}
    assert rows[2] == {"second": 2, "gateways": 2, "asked": 17, "busy": 1, "now_slow": 2.0}
    assert rows[3] == {"second": 3, "gateways": 1, "asked": 2, "starts": 1, "now_slow": 2.0}
    assert totals["total"] == {"asked": 22, "busy": 6, "starts": 3} and totals["logs"] == 2
    assert fleet_metrics.table(totals).splitlines()[2] == "| 1 | 2 | 2 | 0 | 0 | 1 |"
