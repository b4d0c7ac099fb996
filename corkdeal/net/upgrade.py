"""Upgrade without downtime: a process takes over from its predecessor and later hands over to its successor.

Used only if the listening socket for clients is inherited, which is how the platform starts a new version
beside the old one. The two processes share nothing but the folder for temporary files. `docs/upgrade.md`
describes which process may spend which part of the quota at what time. `persistence/quota_handover.py`
divides the quotas, and `persistence/handover_files.py` keeps the files.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from typing import Any

from .. import __version__, logs
from ..persistence import clock, quota_handover
from ..persistence.capture import StateCapture
from ..persistence.codec import Snapshot, SnapshotHead, encode_snapshot
from ..persistence.handover_files import HandoverFiles, HandoverPart
from ..persistence.quota_handover import SUCCESSOR_FRACTION, PartialState
from ..persistence.restore import RestoredState
from .budget import max_open_ids
from .invariants import count, counts
from .limit_sharing import LimitSharing
from .open_ids import OpenIds
from .request_ids import RETENTION_TIME
from .shared_ids import SharedIds
from .shutdown import KILL_DELAY, MAX_CLASS_DEADLINE
from .upgrade_start import handover_folder

POLL_INTERVAL = 0.02  # seconds between checks for the predecessor's first snapshot
POLL_TIMEOUT = 1.0  # seconds after which this process starts without that snapshot
CHECK_INTERVAL = 0.1  # seconds between checks whether another process has started or ended
MAX_LOGGED_ERROR = 200  # characters


class UpgradeHandover:
    """The handover from this process's predecessor, and the one to its successor."""

    def __init__(self, reactor: Any, gateway: Any, files: HandoverFiles | None = None) -> None:
        """`files` are those of a process that has its incarnation number already. Raises `OSError`."""
        self.reactor = reactor
        self.gateway = gateway
        self.decisions = gateway.decisions
        self.folder = handover_folder(gateway.config.name)
        self.files = files or HandoverFiles(self.folder)
        self.limit_sharing: LimitSharing | None = None
        self.predecessor: int | None = None  # incarnation that still has a fraction of the quota
        self.partial_state: PartialState | None = None  # what the predecessor handed over first
        self.predecessor_fraction = 0.0  # fraction of the quota that the predecessor kept
        self.successor: int | None = None  # incarnation that was given a fraction here
        self.successor_fraction = 0.0  # fraction of the quota that the successor was given
        self.remainder_takeover: Iterator[None] | None = None  # its steps, while in progress
        self.is_finished = False  # everything was handed over, or the folder can't be used
        self.poll_count = 0

    @property
    def is_awaiting_remainder(self) -> bool:
        """Whether the predecessor still has the ledgers and is expected to hand them over."""
        return self.predecessor is not None and self.partial_state is not None

    def join(self) -> None:
        """Take the next incarnation number, unless that was done before. Raises `OSError`."""
        if not self.files.incarnation:
            self.files.join()

    def share_limits(self) -> None:
        """Divide the gateway's limits on memory and descriptors with the other processes from now on."""
        self.limit_sharing = LimitSharing(self.reactor, self.gateway, self.files)
        self.limit_sharing.start()

    # As the successor of another process

    def take_over(self, start: Callable[[], None]) -> None:
        """Take over the first part from the predecessor, if there is one, then call `start`."""
        self.join()
        self.predecessor = self.files.predecessor()
        self.reactor.callLater(CHECK_INTERVAL, self._check)
        self._poll_partial_state(start)

    def _poll_partial_state(self, start: Callable[[], None]) -> None:
        """Wait up to `POLL_TIMEOUT` for the first snapshot: the predecessor's version may not write one."""
        if self.predecessor is None:
            start()
            return
        snapshot = self._read(self.predecessor, HandoverPart.PARTIAL)
        self.poll_count += 1
        try:
            if snapshot is None and not self.files.is_running(self.predecessor):
                self.predecessor = self.files.predecessor()  # an older one may still run
        except OSError as error:  # the folder was removed: the start must not fail for that
            self._disable(error)
        if self.predecessor is None:
            start()
            return
        if snapshot is None and self.poll_count * POLL_INTERVAL < POLL_TIMEOUT:
            self.reactor.callLater(POLL_INTERVAL, self._poll_partial_state, start)
            return
        if snapshot is None:
            self._share_ids(self.predecessor)  # it may only be late with its snapshot
            count("handover_none")
            logs.event("handover_none", life=self.files.incarnation, before=self.predecessor)
        else:
            self._apply_partial_state(snapshot)
        start()

    def _apply_partial_state(self, snapshot: Snapshot) -> None:
        """Restore the decisions from the first snapshot, with the quota fraction handed over."""
        if self.predecessor is not None:
            self._share_ids(self.predecessor)
        total_fraction = snapshot.head.fleet.quota_fraction
        self.predecessor_fraction = total_fraction * (1 - SUCCESSOR_FRACTION)
        self.partial_state = PartialState(self._restored_state(snapshot), SUCCESSOR_FRACTION)
        self.decisions.restore(self.partial_state)
        self.decisions.quota_fraction = total_fraction * SUCCESSOR_FRACTION
        logs.event(
            "handover_begun",
            life=self.files.incarnation,
            before=self.predecessor,
            accounts=sum(map(len, snapshot.accounts)),
            part=round(self.decisions.quota_fraction, 3),
        )

    def _follow_predecessor(self, predecessor: int, partial_state: PartialState) -> None:
        """Take over the remainder once the predecessor has handed it over, or its rate once it has ended.

        Until then the predecessor exchanges messages with the peers, so their silence here has no meaning.
        """
        self.decisions.quota_exchange.peer_last_received_at = dict.fromkeys(
            self.decisions.ring_neighbours, self.gateway.now()
        )
        # Checked before the read: if checked after it, a predecessor that writes its final part and ends in
        # between would be taken for one that ended without writing it.
        has_ended = not self.files.is_running(predecessor)
        snapshot = self._read(predecessor, HandoverPart.FINAL)
        now = self.gateway.now()
        if snapshot is not None:
            fraction = snapshot.head.fleet.quota_fraction
            self.remainder_takeover = quota_handover.take_over_remainder(
                self.decisions, self.gateway.now, partial_state, self._restored_state(snapshot), fraction
            )
            self._continue_takeover()
        elif has_ended:
            count("handover_cut_short")
            quota_handover.add_fraction(self.decisions, now, self.predecessor_fraction)
            self._finish_takeover(has_remainder=False)

    def _continue_takeover(self) -> None:
        """Take one step of the takeover per reactor iteration."""
        for _ in self.remainder_takeover or ():
            self.reactor.callLater(0, self._continue_takeover)
            return
        self.remainder_takeover = None
        self._finish_takeover(has_remainder=True)

    def _finish_takeover(self, has_remainder: bool) -> None:
        """Start receiving from peers: all that the predecessor had is taken over, or lost."""
        logs.event(
            "handover_done",
            life=self.files.incarnation,
            before=self.predecessor,
            rest=has_remainder,
            part=round(self.decisions.quota_fraction, 3),
        )
        self.predecessor = None
        self.gateway.listen_for_peers()
        # Until then the predecessor may still serve, and its last requests may have run a short time ago.
        wait = MAX_CLASS_DEADLINE + KILL_DELAY + RETENTION_TIME
        self.reactor.callLater(wait, self._end_sharing, self.gateway.request_ids.shared)

    def _end_sharing(self, shared: SharedIds | None) -> None:
        """End the exchange of ids with a process that has ended, unless another one has begun."""
        if shared is not None and self.gateway.request_ids.shared is shared:
            self.gateway.request_ids.end_sharing()

    def _read(self, predecessor: int, part: HandoverPart) -> Snapshot | None:
        """Return a snapshot for this process, or None; one that can't be read is counted and logged."""
        try:
            return self.files.read(predecessor, part)
        except (OSError, ValueError) as error:
            count("handover_unreadable")
            logs.event(
                "handover_unreadable", what=part.value, before=predecessor, error=truncated_text(error)
            )
            return None

    def _restored_state(self, snapshot: Snapshot) -> RestoredState:
        """Return the snapshot as persisted state, expired to now."""
        age, _ = clock.measure_age(snapshot.head.clock, clock.read_clocks())
        return RestoredState(
            snapshot, age, self.gateway.now(), self.gateway.settings, lambda name: "", counts
        )

    # As successor and as predecessor

    def _check(self) -> None:
        """Check the predecessor and the successor, at intervals until `is_finished`."""
        if self.is_finished and self.gateway.request_ids.open_ids is None:
            return
        self.reactor.callLater(CHECK_INTERVAL, self._check)
        self._follow_open_ids()
        if self.is_finished:
            return
        try:
            self._check_processes()
        except OSError as error:
            self._disable(error)

    def _follow_open_ids(self) -> None:
        """Look at the ids of processes that have started; without the folder none can."""
        open_ids = self.gateway.request_ids.open_ids
        if open_ids is not None:
            with contextlib.suppress(OSError):
                open_ids.follow(self.files.running())

    def _check_processes(self) -> None:
        """Take over from the predecessor; hand over to the successor, or take back from one that ended."""
        if self.remainder_takeover is not None:
            return  # the state is incomplete until the takeover ends, so it can't be handed over yet
        if self.predecessor is not None and self.partial_state is not None and self.gateway.has_started:
            self._follow_predecessor(self.predecessor, self.partial_state)
        elif self.predecessor is not None and not self.files.is_running(self.predecessor):
            self.predecessor = None  # it has ended without handing anything over
            self.reactor.callLater(RETENTION_TIME, self._end_sharing, self.gateway.request_ids.shared)
        if self.successor is not None and not self.files.is_running(self.successor):
            logs.event("handover_taken_back", life=self.files.incarnation, after=self.successor)
            quota_handover.add_fraction(self.decisions, self.gateway.now(), self.successor_fraction)
            self.successor = None
            self.reactor.callLater(RETENTION_TIME, self._end_sharing, self.gateway.request_ids.shared)
        if self.successor is None:
            successor = self.files.successor()
            if successor is not None and self.gateway.has_started and self._is_loaded(successor):
                self._hand_over_partial_state(successor)

    def _is_loaded(self, successor: int) -> bool:
        """Return whether a process that has started needs its part of the quota yet."""
        return self.limit_sharing is None or self.limit_sharing.has_started(successor)

    def _disable(self, error: OSError) -> None:
        """Stop all handovers, because the folder can't be used any more.

        The predecessor's rate is taken over at once: to have the whole rate too early is better than to be
        limited to a fraction of it permanently.
        """
        count("handover_off")
        logs.event("handover_off", error=truncated_text(error))
        self.is_finished = True
        if self.remainder_takeover is not None:
            return
        was_waiting = self.is_awaiting_remainder
        self.predecessor = None
        if was_waiting:
            quota_handover.add_fraction(self.decisions, self.gateway.now(), self.predecessor_fraction)
            self.gateway.listen_for_peers()

    # As the predecessor of another process

    def _hand_over_partial_state(self, successor: int) -> None:
        """Hand over a quota fraction and all records to a process that has started."""
        self._share_ids(successor)  # first: the successor serves once it has the snapshot
        if not self._write(successor, HandoverPart.PARTIAL):
            return
        self.successor = successor
        self.successor_fraction = self.decisions.quota_fraction * SUCCESSOR_FRACTION
        quota_handover.reduce_to_fraction(self.decisions, 1 - SUCCESSOR_FRACTION)
        logs.event(
            "handover_given",
            life=self.files.incarnation,
            after=successor,
            part=round(self.successor_fraction, 3),
        )

    def _share_ids(self, other: int) -> None:
        """Exchange the ids of requests with the other processes, so that none runs at two of them."""
        ids, own = self.gateway.request_ids, self.files.incarnation
        try:
            if ids.open_ids is None:
                ids.share_open(OpenIds(self.folder, own, max_open_ids(self.gateway.config.memory)))
            ids.open_ids.follow([other, *self.files.running()])
            ids.share(SharedIds(self.folder, own, other))
        except OSError as error:
            count("shared_ids_failed")
            logs.event("handover_not_written", what="ids", after=other, error=truncated_text(error))

    def hand_over_remainder(self) -> None:
        """Hand over the remainder to a successor that has its fraction; no new clients connect any more."""
        if self.successor is None or self.is_finished or not self.files.is_running(self.successor):
            return
        if self._write(self.successor, HandoverPart.FINAL):
            self.is_finished = True
            quota_handover.release_all(self.decisions)
            self.gateway.stop_peering()
            logs.event("handover_rest", life=self.files.incarnation, after=self.successor)

    def _write(self, successor: int, part: HandoverPart) -> bool:
        """Write a snapshot of the whole state; returns whether it was written.

        It is captured in one reactor iteration, so that the state divided afterwards is the one in it.
        """
        now = self.gateway.now()
        quota_handover.refill_accounts(self.decisions, now)
        changed_customers = self.decisions.changed_customers  # a snapshot writer may collect them
        try:
            head, pages = self._capture_state(now)
            self.files.write(successor, part, lambda number: encode_snapshot(number, head, pages))
        except (OSError, ValueError) as error:
            count("handover_not_written")
            logs.event("handover_not_written", what=part.value, after=successor, error=truncated_text(error))
            return False
        finally:
            self.decisions.changed_customers = changed_customers
        return True

    def _capture_state(self, now: float) -> tuple[SnapshotHead, list[bytes]]:
        """Return the head and the pages of a snapshot of the whole state."""
        capture = StateCapture(self.decisions, self.gateway.config.name, __version__)
        for _ in capture.steps(self.gateway.now, clock.read_clocks, lambda: 0.0):
            pass
        head = capture.head(now, clock.read_clocks(), 0.0, True, {})
        return head, list(capture.pages())


def truncated_text(error: Exception) -> str:
    """Return an error's text, cut to `MAX_LOGGED_ERROR` characters."""
    return str(error)[:MAX_LOGGED_ERROR]
