"""An upgrade: this process takes over from its predecessor, and later hands over to its successor.

Used only where the clients' listening socket is inherited, which is how the platform starts a new version
beside the old one. Both share the temporary folder and nothing else. `docs/upgrade.md` describes who spends
what at which moment; `persistence/quota_handover.py` divides the quotas, and
`persistence/handover_files.py` keeps the files.
"""

from __future__ import annotations

import os
import tempfile
from collections.abc import Callable, Iterator
from typing import Any

from .. import __version__, logs
from ..persistence import clock, quota_handover
from ..persistence.capture import StateCapture
from ..persistence.codec import Snapshot, SnapshotHead, encode_snapshot
from ..persistence.handover_files import HandoverFiles, HandoverPart
from ..persistence.quota_handover import SUCCESSOR_SHARE, PartialState
from ..persistence.restore import RestoredState
from ..persistence.store import gateway_folder
from .invariants import count, counts

FOLDER_NAME = "corkdeal-lives"  # in the folder for temporary files
POLL_INTERVAL = 0.02  # seconds between looks for what the predecessor gives
POLL_TIMEOUT = 1.0  # seconds until this process starts without it
CHECK_INTERVAL = 0.1  # seconds between looks for another process's start or end
MAX_LOGGED_ERROR = 200  # characters


class Succession:
    """This process's place between its predecessor and its successor."""

    def __init__(self, reactor: Any, gateway: Any) -> None:
        self.reactor = reactor
        self.gateway = gateway
        self.decisions = gateway.decisions
        folder = os.path.join(tempfile.gettempdir(), FOLDER_NAME)
        self.files = HandoverFiles(gateway_folder(folder, gateway.config.name))
        self.predecessor: int | None = None  # the incarnation that still holds a fraction of the quota
        self.given: PartialState | None = None  # what it gave at first
        self.predecessor_fraction = 0.0  # of the quota, that it kept
        self.successor: int | None = None  # the incarnation that holds a fraction given here
        self.successor_fraction = 0.0  # of the quota, that it was given
        self.takeover: Iterator[None] | None = None  # steps of taking over the rest, while that lasts
        self.done = False  # all was handed over, or the folder can't be used
        self.polls = 0

    @property
    def waits(self) -> bool:
        """Whether the predecessor still has the ledgers, and is known to give them."""
        return self.predecessor is not None and self.given is not None

    # As the successor of another process

    def begin(self, start: Callable[[], None]) -> None:
        """Call `start`, with what the predecessor gives where there is one."""
        self.predecessor = self.files.join()
        self.reactor.callLater(CHECK_INTERVAL, self._check)
        self._poll(start)

    def _poll(self, start: Callable[[], None]) -> None:
        """Wait for the first snapshot, but not for long: the predecessor may be a version that gives none."""
        if self.predecessor is None:
            start()
            return
        snapshot = self._read(self.predecessor, HandoverPart.PARTIAL)
        self.polls += 1
        try:
            if snapshot is None and not self.files.is_running(self.predecessor):
                self.predecessor = self.files.predecessor()  # the one before it may still run
        except OSError as error:  # the folder is gone: a start must not fail for that
            self._disable(error)
        if self.predecessor is None:
            start()
            return
        if snapshot is None and self.polls * POLL_INTERVAL < POLL_TIMEOUT:
            self.reactor.callLater(POLL_INTERVAL, self._poll, start)
            return
        if snapshot is None:
            count("handover_none")
            logs.event("handover_none", life=self.files.incarnation, before=self.predecessor)
        else:
            self._take_first(snapshot)
        start()

    def _take_first(self, snapshot: Snapshot) -> None:
        """Take the fraction that the predecessor gave."""
        whole = snapshot.head.fleet.quota_fraction
        self.predecessor_fraction = whole * (1 - SUCCESSOR_SHARE)
        self.given = PartialState(self._restored(snapshot), SUCCESSOR_SHARE)
        self.decisions.restore(self.given)
        self.decisions.quota_fraction = whole * SUCCESSOR_SHARE
        logs.event(
            "handover_begun",
            life=self.files.incarnation,
            before=self.predecessor,
            accounts=sum(map(len, snapshot.accounts)),
            part=round(self.decisions.quota_fraction, 3),
        )

    def _follow(self, predecessor: int, given: PartialState) -> None:
        """Take over the rest once the predecessor gave it, or its rate once it has ended.

        Until then the predecessor exchanges messages with the peers, so their silence here tells nothing.
        """
        self.decisions.quota_exchange.peer_last_heard = dict.fromkeys(
            self.decisions.ring_neighbours, self.gateway.now()
        )
        has_ended = not self.files.is_running(predecessor)  # first: it may write and end in between
        snapshot = self._read(predecessor, HandoverPart.FINAL)
        now = self.gateway.now()
        if snapshot is not None:
            fraction = snapshot.head.fleet.quota_fraction
            self.takeover = quota_handover.take_rest(
                self.decisions, self.gateway.now, given, self._restored(snapshot), fraction
            )
            self._continue_takeover()
        elif has_ended:
            count("handover_cut_short")
            quota_handover.take_fraction(self.decisions, now, self.predecessor_fraction)
            self._finish_takeover(has_rest=False)

    def _continue_takeover(self) -> None:
        """Take one step; other calls of the reactor come between two steps."""
        for _ in self.takeover or ():
            self.reactor.callLater(0, self._continue_takeover)
            return
        self.takeover = None
        self._finish_takeover(has_rest=True)

    def _finish_takeover(self, has_rest: bool) -> None:
        """All that the predecessor held is here, or lost."""
        logs.event(
            "handover_done",
            life=self.files.incarnation,
            before=self.predecessor,
            rest=has_rest,
            part=round(self.decisions.quota_fraction, 3),
        )
        self.predecessor = None
        self.gateway.hear()

    def _read(self, predecessor: int, part: HandoverPart) -> Snapshot | None:
        """Return a snapshot for this process; one that can't be read counts as none, and is logged."""
        try:
            return self.files.read(predecessor, part)
        except (OSError, ValueError) as error:
            count("handover_unreadable")
            logs.event("handover_unreadable", what=part.value, before=predecessor, error=shortened(error))
            return None

    def _restored(self, snapshot: Snapshot) -> RestoredState:
        """Return the snapshot's records, expired to now."""
        age, _ = clock.measure_age(snapshot.head.clock, clock.read_clocks())
        return RestoredState(
            snapshot, age, self.gateway.now(), self.gateway.settings, lambda name: "", counts
        )

    # Both

    def _check(self) -> None:
        """Look at the predecessor and the successor, and again after a while."""
        if self.done:
            return
        self.reactor.callLater(CHECK_INTERVAL, self._check)
        try:
            self._check_neighbours()
        except OSError as error:
            self._disable(error)

    def _check_neighbours(self) -> None:
        """Follow the predecessor, and give to the successor or take back from it."""
        if self.takeover is not None:
            return  # what is handed over must be complete
        if self.predecessor is not None and self.given is not None and self.gateway.begun:
            self._follow(self.predecessor, self.given)
        if self.successor is not None and not self.files.is_running(self.successor):
            logs.event("handover_taken_back", life=self.files.incarnation, after=self.successor)
            quota_handover.take_fraction(self.decisions, self.gateway.now(), self.successor_fraction)
            self.successor = None
        if self.successor is None:
            successor = self.files.successor()
            if successor is not None and self.gateway.begun:
                self._give_first(successor)

    def _disable(self, error: OSError) -> None:
        """Give up handing over: the folder can't be used any more.

        The predecessor's rate is taken: the whole rate too early is better than a fraction for good.
        """
        count("handover_off")
        logs.event("handover_off", error=shortened(error))
        self.done = True
        if self.takeover is not None:
            return
        waited = self.waits
        self.predecessor = None
        if waited:
            quota_handover.take_fraction(self.decisions, self.gateway.now(), self.predecessor_fraction)
            self.gateway.hear()

    # As the predecessor of another process

    def _give_first(self, successor: int) -> None:
        """Give a process that has started its fraction, and all records."""
        if not self._write(successor, HandoverPart.PARTIAL):
            return
        self.successor = successor
        self.successor_fraction = self.decisions.quota_fraction * SUCCESSOR_SHARE
        quota_handover.keep_fraction(self.decisions, 1 - SUCCESSOR_SHARE)
        logs.event(
            "handover_given",
            life=self.files.incarnation,
            after=successor,
            part=round(self.successor_fraction, 3),
        )

    def end(self) -> None:
        """Give the rest to the successor, if it had its fraction; no new clients come here any more."""
        if self.successor is None or self.done or not self.files.is_running(self.successor):
            return
        if self._write(self.successor, HandoverPart.FINAL):
            self.done = True
            quota_handover.keep_nothing(self.decisions)
            self.gateway.be_silent()
            logs.event("handover_rest", life=self.files.incarnation, after=self.successor)

    def _write(self, successor: int, part: HandoverPart) -> bool:
        """Write a snapshot of the whole state; returns whether it was written.

        It is captured in one turn of the reactor, so that what is divided is what it states.
        """
        now = self.gateway.now()
        quota_handover.refill_accounts(self.decisions, now)
        changed_customers = self.decisions.changed_customers  # for a snapshot writer, if there is one
        try:
            head, pages = self._captured(now)
            self.files.write(successor, part, lambda number: encode_snapshot(number, head, pages))
        except (OSError, ValueError) as error:
            count("handover_not_written")
            logs.event("handover_not_written", what=part.value, after=successor, error=shortened(error))
            return False
        finally:
            self.decisions.changed_customers = changed_customers
        return True

    def _captured(self, now: float) -> tuple[SnapshotHead, list[bytes]]:
        """Return the head and the pages of a snapshot of the whole state."""
        capture = StateCapture(self.decisions, self.gateway.config.name, __version__)
        for _ in capture.steps(self.gateway.now, clock.read_clocks, lambda: 0.0):
            pass
        head = capture.head(now, clock.read_clocks(), 0.0, True, {})
        return head, list(capture.pages())


def shortened(error: Exception) -> str:
    """Return an error's text as a log line states it."""
    return str(error)[:MAX_LOGGED_ERROR]
