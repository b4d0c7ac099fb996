"""Invariants, asserted in debug builds and counted in release builds (python -O); counters of anomalies."""

from __future__ import annotations

from collections import Counter

counts: Counter[str] = Counter()  # broken invariants and anomalies, by name


def count(what: str) -> None:
    """Count an anomaly, most often caused by the other side; unlike a broken invariant it is never raised."""
    counts[what] += 1


def holds(truth: object, what: str) -> bool:
    """Check an invariant; if it is broken, a debug build raises and a release build counts it."""
    if __debug__:
        assert truth, what
    elif not truth:
        counts[what] += 1
    return bool(truth)


def report() -> str:
    """The counters as one line of text."""
    return " ".join(f"{name}={n}" for name, n in sorted(counts.items()))
