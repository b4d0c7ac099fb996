"""Invariants, asserted in debug builds and counted in release builds (python -O); counters of anomalies."""

from __future__ import annotations

from collections import Counter

counts: Counter[str] = Counter()  # broken invariants and anomalies, by name


def count(name: str) -> None:
    """Count an anomaly, most often caused by the other side; unlike a broken invariant it is never raised."""
    counts[name] += 1


def holds(condition: object, name: str) -> bool:
    """Check an invariant; if it is broken, a debug build raises and a release build counts it."""
    if __debug__:
        assert condition, name
    elif not condition:
        counts[name] += 1
    return bool(condition)


def report() -> str:
    """The counters as one line of text."""
    return " ".join(f"{name}={n}" for name, n in sorted(counts.items()))
