"""What must hold: asserted in debug builds, counted in release builds (python -O)."""

from __future__ import annotations

from collections import Counter

counts: Counter[str] = Counter()  # invariants broken and oddities met, by name


def count(what: str) -> None:
    """Count something odd that the other side may cause; it is no fault of this program."""
    counts[what] += 1


def holds(truth: object, what: str) -> bool:
    """Whether an invariant holds: a debug build stops at a broken one, a release build counts it."""
    if __debug__:
        assert truth, what
    elif not truth:
        counts[what] += 1
    return bool(truth)


def report() -> str:
    """The counts as one line for the log."""
    return " ".join(f"{name}={n}" for name, n in sorted(counts.items()))
