"""Detects that a zone is cut off, as one event, from a few failures of several of its backends.

Each zone has a sequential probability ratio test (Wald, 1945): how much likelier are the observations if the
zone is cut off than if it is not? Two kinds of evidence since the zone's last reply speak for a cut:

- *Unreachable backends*, each counted once, however often it fails: a dead backend does not make a dead zone.
  Without a cut, a failed connect has a small probability. A silence (an attempt without a reply for much
  longer than usual) has the recent share of silent attempts that were answered in the end, at this backend or
  in all other zones together, whichever is greater: while many backends are slow, a silence says little.
- *Missing replies*: at its previous rate the zone would have sent a number of replies by now. Without a cut,
  the probability that none came is exp(-expected). The expected number is scaled by the share of their own
  expected replies that came from the other zones in the same time, so a slowdown of all zones is no evidence.

Any reply clears the evidence against a zone. Once the zone is declared lost, only a reply to an attempt
sent after its previous reply does.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field

CUT_THRESHOLD = math.log(1e6)  # one false alarm in a million independent tests without a cut
FAILURE_PROBABILITY_IF_CUT = 0.98  # share of attempts at backends of a cut-off zone that fail
MIN_FAILURE_PROBABILITY = 0.02  # that a backend is unreachable although its zone is not cut off
MIN_FAILED_BACKENDS = 2  # distinct backends that must have failed; all of them if the zone has fewer
REPLY_RATE_TIME_CONSTANT = 3.0  # s; time constant of a zone's average reply rate
MIN_REPLY_GAP = 0.05  # s without a reply before missing replies count
MAX_EVIDENCE_AGE = 5.0  # s for which a failure or missing replies count
SILENCE_TIME_CONSTANT = 10.0  # s; time constant of a backend's counts of silent and answered attempts
MAX_RECENT_REPLIES = 512  # latest replies of all zones; more than come in MAX_EVIDENCE_AGE at 100 a second


@dataclass(slots=True)
class SilenceCounts:
    """Decaying counts of the attempts at one backend that were silent and of those that were answered."""

    silent: float = 0.0
    answered: float = 0.0
    decayed_at: float = -math.inf

    def decay(self, now: float) -> None:
        """Decay both counts up to now."""
        if self.decayed_at > -math.inf:
            factor = math.exp(-max(0.0, now - self.decayed_at) / SILENCE_TIME_CONSTANT)
            self.silent, self.answered = self.silent * factor, self.answered * factor
        self.decayed_at = now


@dataclass(slots=True)
class ZoneEvidence:
    """Observations of one zone."""

    backend_count: int = 0  # listed in the zone
    reply_rate: float = 0.0  # replies a second, averaged
    last_reply_at: float = -math.inf
    rate_decayed_at: float = -math.inf  # time up to which `reply_rate` has decayed
    # backend -> time of its last failure, and whether that was a silence
    last_failures: dict[Hashable, tuple[float, bool]] = field(default_factory=dict)
    silence_counts: dict[Hashable, SilenceCounts] = field(default_factory=dict)
    lost_at: float | None = None


class LostZoneDetector:
    """Observations of all zones, and which of these are declared lost."""

    def __init__(self) -> None:
        self.zones: dict[str, ZoneEvidence] = {}
        self.recent_replies: deque[tuple[float, str]] = deque(maxlen=MAX_RECENT_REPLIES)

    def set_backend_counts(self, backend_counts: dict[str, int]) -> None:
        """Set the number of backends in each zone; a zone without any is removed."""
        self.zones = {name: self.zones.get(name) or ZoneEvidence() for name, n in backend_counts.items() if n}
        for name, evidence in self.zones.items():
            evidence.backend_count = backend_counts[name]

    def record_reply(self, zone: str, backend: Hashable, sent_at: float, now: float) -> None:
        """Record a reply of any kind, also a rejection: the attempt sent at `sent_at` reached its backend."""
        if (evidence := self.zones.get(zone)) is None:
            return
        self.decay_reply_rate(evidence, now)
        evidence.reply_rate += 1 / REPLY_RATE_TIME_CONSTANT
        self.recent_replies.append((now, zone))
        previous_reply_at, evidence.last_reply_at = evidence.last_reply_at, now
        self.counts_of(evidence, backend, now).answered += 1
        evidence.last_failures.pop(backend, None)
        # Of a lost zone, a reply that was in flight when the cut began proves nothing.
        if evidence.lost_at is None or sent_at >= previous_reply_at:
            evidence.last_failures.clear()

    def record_failure(self, zone: str, backend: Hashable, now: float, silent: bool = False) -> None:
        """Record that a backend was unreachable or, if `silent`, has not answered an attempt for too long."""
        if (evidence := self.zones.get(zone)) is not None:
            evidence.last_failures[backend] = now, silent
            if silent:
                self.counts_of(evidence, backend, now).silent += 1

    @staticmethod
    def counts_of(evidence: ZoneEvidence, backend: Hashable, now: float) -> SilenceCounts:
        """Return a backend's counts, decayed up to now."""
        counts = evidence.silence_counts.setdefault(backend, SilenceCounts())
        counts.decay(now)
        return counts

    def mark_reachable(self, zone: str) -> None:
        """Mark a zone as reachable again; the caller, which returns traffic to it gradually, decides when."""
        if (evidence := self.zones.get(zone)) is not None:
            evidence.lost_at = None
            evidence.last_failures.clear()

    @staticmethod
    def decay_reply_rate(evidence: ZoneEvidence, now: float) -> None:
        """Decay the reply rate up to now."""
        if evidence.rate_decayed_at > -math.inf:
            evidence.reply_rate *= math.exp(
                -max(0.0, now - evidence.rate_decayed_at) / REPLY_RATE_TIME_CONSTANT
            )
        evidence.rate_decayed_at = now

    def declare_lost(self, now: float) -> list[str]:
        """Declare zones lost by their evidence; return the newly lost ones, sorted by name."""
        newly_lost = []
        for name, evidence in sorted(self.zones.items()):
            if (
                evidence.lost_at is None
                and self.log_likelihood_ratio(name, now) >= CUT_THRESHOLD
                and self.has_reply_elsewhere(name, now)
            ):
                evidence.lost_at = now
                newly_lost.append(name)
        return newly_lost

    def lost_zones(self) -> list[str]:
        """Return the zones that are lost now, sorted by name."""
        return sorted(name for name, evidence in self.zones.items() if evidence.lost_at is not None)

    def recent_failures(self, evidence: ZoneEvidence, now: float) -> list[tuple[Hashable, bool]]:
        """Return the backends that failed recently and after the zone's last reply, and which are silent."""
        return [
            (backend, silent)
            for backend, (at, silent) in evidence.last_failures.items()
            if at > evidence.last_reply_at and now - at < MAX_EVIDENCE_AGE
        ]

    def has_reply_elsewhere(self, name: str, now: float) -> bool:
        """Return whether another zone replied after this one failed.

        Otherwise the gateway itself may be cut off, or all zones be down.
        """
        evidence = self.zones[name]
        failure_times = sorted(
            at
            for at, _ in evidence.last_failures.values()
            if at > evidence.last_reply_at and now - at < MAX_EVIDENCE_AGE
        )
        since = failure_times[min(MIN_FAILED_BACKENDS, len(failure_times)) - 1] if failure_times else now
        return any(
            other_zone.last_reply_at > since for other, other_zone in self.zones.items() if other != name
        )

    def log_likelihood_ratio(self, name: str, now: float) -> float:
        """Return the log likelihood ratio of a cut against none, given the observations."""
        evidence = self.zones[name]
        failing = self.recent_failures(evidence, now)
        if len(failing) < min(MIN_FAILED_BACKENDS, evidence.backend_count):
            return 0.0
        others = [
            other_zone
            for other, other_zone in self.zones.items()
            if other != name and other_zone.lost_at is None
        ]
        elsewhere = [counts for other_zone in others for counts in other_zone.silence_counts.values()]
        silent, answered = (
            sum(counts.silent for counts in elsewhere),
            sum(counts.answered for counts in elsewhere),
        )
        share_elsewhere = silent / (silent + answered + 1)
        log_ratio = 0.0
        for backend, is_silent in failing:
            counts = evidence.silence_counts.get(backend, SilenceCounts())
            # Without the current silence: only earlier ones, which ended with a reply, show how usual it is.
            own_share = max(0.0, counts.silent - 1) / (counts.silent + counts.answered + 1)
            probability = (
                max(MIN_FAILURE_PROBABILITY, share_elsewhere, own_share)
                if is_silent
                else MIN_FAILURE_PROBABILITY
            )
            log_ratio += math.log(max(1.0, FAILURE_PROBABILITY_IF_CUT / probability))
        return log_ratio + self.missing_replies(name, evidence, others, now)

    def missing_replies(
        self, name: str, evidence: ZoneEvidence, others: list[ZoneEvidence], now: float
    ) -> float:
        """Return the replies missing from a zone since its last one, scaled by what other zones sent."""
        gap = now - evidence.last_reply_at
        if not MIN_REPLY_GAP < gap < MAX_EVIDENCE_AGE:
            return 0.0
        rate_at_last_reply = evidence.reply_rate * math.exp(
            -max(0.0, evidence.last_reply_at - evidence.rate_decayed_at) / REPLY_RATE_TIME_CONSTANT
        )
        expected = gap * sum(other_zone.reply_rate for other_zone in others)
        received = sum(1 for at, zone in self.recent_replies if at > evidence.last_reply_at and zone != name)
        return rate_at_last_reply * gap * (min(1.0, received / expected) if expected else 0.0)
