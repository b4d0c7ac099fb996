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

PAIR = re.compile(r"(\w+)=(-?[0-9.]+)")
LEADING = re.compile(r"^([0-9]+\.[0-9]+) ")
STAMP = re.compile(r"T(\d\d):(\d\d):(\d\d(?:\.\d+)?)")
NOW = "now_"  # prefix of gauges, which are averaged and not summed


def line_of(text: str) -> tuple[float, dict[str, float]] | None:
    """The time in seconds and the metrics of a `figures` line; None for any other line."""
    if "figures" not in text:
        return None
    if "{" in text and (raw := text[text.index("{") :].strip()).endswith("}"):
        try:
            pairs = json.loads(raw)
        except ValueError:
            return None
        if pairs.get("event") != "figures":
            return None
        values = {k: float(v) for k, v in pairs.items() if isinstance(v, int | float)}
        stamp = str(pairs.get("timestamp", ""))
    else:
        head, _, rest = text.partition("figures ")
        if not rest or head.rstrip()[-1:] not in ("]", "="):
            return None
        values, stamp = {k: float(v) for k, v in PAIR.findall(rest)}, head
    if leading := LEADING.match(text):  # the benchmark writes its own clock, s, before the line
        return float(leading[1]), values
    if at := STAMP.search(stamp):
        return 3600 * int(at[1]) + 60 * int(at[2]) + float(at[3]), values
    return None


def add_up(folder: pathlib.Path) -> dict[str, Any]:
    """Sum the logs in a folder by second.

    A row holds the increase of all counters, the mean of each gauge over the gateways that reported it in
    that second, the number of those gateways, and the number of process starts.
    """
    done: dict[int, Counter[str]] = defaultdict(Counter)
    states: dict[int, dict[str, dict[str, float]]] = defaultdict(lambda: defaultdict(dict))
    logs = sorted(folder.glob("*.log"))
    for log in logs:
        last: dict[str, float] = {}
        with open(log, errors="replace") as file:
            for text in file:
                if (found := line_of(text)) is None:
                    continue
                at, values = found
                second = int(at)
                if values.get("asked", 0.0) < last.get("asked", 0.0) or not last:
                    done[second]["starts"] += 1
                    last = {}
                for key, value in values.items():
                    if key.startswith(NOW):
                        states[second][key][log.name] = value
                    else:
                        done[second][key] += value - last.get(key, 0.0)
                last = values
    seconds = sorted(done)
    begin = seconds[0] if seconds and seconds[0] > 1000 else 0  # the first row of a time of day
    rows = [
        {
            "second": s - begin,
            "gateways": max((len(v) for v in states[s].values()), default=0),
            **{k: round(v, 2) for k, v in sorted(done[s].items()) if v},
            **{k: round(sum(v.values()) / len(v), 3) for k, v in sorted(states[s].items())},
        }
        for s in seconds
    ]
    total: Counter[str] = Counter()
    for each in done.values():
        total.update(each)
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


def table(seen: dict[str, Any]) -> str:
    """The rows as a Markdown table, without columns that are empty or zero throughout."""
    names = [c for c in COLUMNS if any(row.get(c) for row in seen["rows"])]
    lines = ["| s | " + " | ".join(names) + " |", "| --- |" + " --- |" * len(names)]
    lines += [
        "| " + " | ".join([str(row["second"]), *(f"{row.get(c, 0):g}" for c in names)]) + " |"
        for row in seen["rows"]
    ]
    return "\n".join(lines)


def chart(seen: dict[str, Any], path: str, title: str) -> None:
    """Plot the outcomes of requests by second, and the messages between gateways."""
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "corkdeal"
    from matplotlib import pyplot

    rows = seen["rows"]
    at = [row["second"] for row in rows]
    figure, (upper, lower) = pyplot.subplots(2, 1, figsize=(8, 6), sharex=True)
    for key in ("asked", "success", "beyond_quota", "inside_late", "inside_deadline", "failure"):
        upper.plot(at, [row.get(key, 0) for row in rows], label=key.replace("_", " "))
    upper.set_ylabel("requests per second, all gateways")
    upper.legend(fontsize=8)
    for key in ("told", "heard", "opened"):
        lower.plot(at, [row.get(key, 0) / max(1, row["gateways"]) for row in rows], label=key)
    lower.plot(at, [row.get("now_slow", 0) * 10 for row in rows], label="slowness x 10", linestyle=":")
    lower.set_ylabel("per second and gateway")
    lower.set_xlabel("s")
    lower.legend(fontsize=8)
    figure.suptitle(title, fontsize=10)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None} if path.endswith("svg") else None)
    pyplot.close(figure)
