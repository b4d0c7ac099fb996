"""Sums the metrics of a fleet by second, from the `figures` lines in the logs of all its gateways.

A line holds counters that run from the start of the process; where they decrease, a new process has started.
What a process counted after its last line is not included.
"""

from __future__ import annotations

import json
import pathlib
import re
from collections import Counter, defaultdict
from typing import Any

METRIC_PATTERN = re.compile(r"(\w+)=(-?[0-9.]+)")
ELAPSED_PATTERN = re.compile(r"^([0-9]+\.[0-9]+) ")
TIME_OF_DAY_PATTERN = re.compile(r"T(\d\d):(\d\d):(\d\d(?:\.\d+)?)")
GAUGE_PREFIX = "now_"  # gauges are averaged over the gateways, counters are summed


def parse_metrics_line(line: str) -> tuple[float, dict[str, float]] | None:
    """The time in seconds and the metrics of a `figures` line; None for any other line."""
    if "figures" not in line:
        return None
    if "{" in line and (raw := line[line.index("{") :].strip()).endswith("}"):
        try:
            record = json.loads(raw)
        except ValueError:
            return None
        if record.get("event") != "figures":
            return None
        values = {k: float(v) for k, v in record.items() if isinstance(v, int | float)}
        stamp = str(record.get("timestamp", ""))
    else:
        head, _, rest = line.partition("figures ")
        if not rest or head.rstrip()[-1:] not in ("]", "="):
            return None
        values, stamp = {k: float(v) for k, v in METRIC_PATTERN.findall(rest)}, head
    if elapsed := ELAPSED_PATTERN.match(line):  # the benchmark writes its own clock, s, before the line
        return float(elapsed[1]), values
    if time_of_day := TIME_OF_DAY_PATTERN.search(stamp):
        return 3600 * int(time_of_day[1]) + 60 * int(time_of_day[2]) + float(time_of_day[3]), values
    return None


def sum_logs(folder: pathlib.Path) -> dict[str, Any]:
    """Sum the logs in a folder by second.

    A row holds the increase of all counters, the mean of each gauge over the gateways that reported it in
    that second, the number of those gateways, and the number of process starts.
    """
    increases: dict[int, Counter[str]] = defaultdict(Counter)
    gauges: dict[int, dict[str, dict[str, float]]] = defaultdict(lambda: defaultdict(dict))
    logs = sorted(folder.glob("*.log"))
    for log in logs:
        previous: dict[str, float] = {}
        with open(log, errors="replace") as file:
            for line in file:
                if (parsed := parse_metrics_line(line)) is None:
                    continue
                time, values = parsed
                second = int(time)
                if values.get("asked", 0.0) < previous.get("asked", 0.0) or not previous:
                    increases[second]["starts"] += 1
                    previous = {}
                for key, value in values.items():
                    if key.startswith(GAUGE_PREFIX):
                        gauges[second][key][log.name] = value
                    else:
                        increases[second][key] += value - previous.get(key, 0.0)
                previous = values
    seconds = sorted(increases)
    first_second = (
        seconds[0] if seconds and seconds[0] > 1000 else 0
    )  # times of day are counted from the first row
    rows = [
        {
            "second": s - first_second,
            "gateways": max((len(v) for v in gauges[s].values()), default=0),
            **{k: round(v, 2) for k, v in sorted(increases[s].items()) if v},
            **{k: round(sum(v.values()) / len(v), 3) for k, v in sorted(gauges[s].items())},
        }
        for s in seconds
    ]
    total: Counter[str] = Counter()
    for counters in increases.values():
        total.update(counters)
    return {"logs": len(logs), "rows": rows, "total": {k: round(v, 2) for k, v in sorted(total.items()) if v}}


COLUMNS = (
    "gateways",
    "starts",
    "asked",
    "success",
    "busy",
    "failure",
    "backend_calls",
    "beyond_quota",
    "inside_late",
    "beyond_late",
    "inside_deadline",
    "inside_tried",
    "inside_opening",
    "opened",
    "told",
    "heard",
    "now_slow",
    "now_ejected",
    "now_servers",
    "now_demand",
)


def table(totals: dict[str, Any]) -> str:
    """The rows as a Markdown table, without columns that are empty or zero throughout."""
    columns = [c for c in COLUMNS if any(row.get(c) for row in totals["rows"])]
    lines = ["| s | " + " | ".join(columns) + " |", "| --- |" + " --- |" * len(columns)]
    lines += [
        "| " + " | ".join([str(row["second"]), *(f"{row.get(c, 0):g}" for c in columns)]) + " |"
        for row in totals["rows"]
    ]
    return "\n".join(lines)


def chart(totals: dict[str, Any], path: str, title: str) -> None:
    """Plot the outcomes of requests by second, and the messages between gateways."""
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "corkdeal"
    from matplotlib import pyplot

    rows = totals["rows"]
    seconds = [row["second"] for row in rows]
    figure, (requests_axis, messages_axis) = pyplot.subplots(2, 1, figsize=(8, 6), sharex=True)
    for key in ("asked", "success", "beyond_quota", "inside_late", "inside_deadline", "failure"):
        requests_axis.plot(seconds, [row.get(key, 0) for row in rows], label=key.replace("_", " "))
    requests_axis.set_ylabel("requests per second, all gateways")
    requests_axis.legend(fontsize=8)
    for key in ("told", "heard", "opened"):
        messages_axis.plot(seconds, [row.get(key, 0) / max(1, row["gateways"]) for row in rows], label=key)
    messages_axis.plot(
        seconds, [row.get("now_slow", 0) * 10 for row in rows], label="slowness x 10", linestyle=":"
    )
    messages_axis.set_ylabel("per second and gateway")
    messages_axis.set_xlabel("s")
    messages_axis.legend(fontsize=8)
    figure.suptitle(title, fontsize=10)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None} if path.endswith("svg") else None)
    pyplot.close(figure)
