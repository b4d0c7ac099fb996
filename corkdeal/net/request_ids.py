"""The ids that clients may not use: of open requests, and of those that may have run a short time ago.

Each request carries a new id, also when a client tries again. An id that comes again would run a second time,
also if its first client has left in the meantime.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import TYPE_CHECKING

from .invariants import count

if TYPE_CHECKING:
    from .open_ids import OpenIds
    from .shared_ids import SharedIds

RETENTION_TIME = 10.0  # s for which the id of a request that may not run twice is kept after its end


class RequestIds:
    """Open ids, and those kept after their requests have ended; `now` returns the time in s."""

    def __init__(self, now: Callable[[], float], max_kept: int) -> None:
        """At most `max_kept` ids of ended requests are kept, the latest ones."""
        self.now, self.max_kept = now, max_kept
        self.open: set[int] = set()
        self.kept_until: OrderedDict[int, float] = OrderedDict()  # the earliest first
        # with the other processes of an upgrade, while several serve
        self.open_ids: OpenIds | None = None
        self.shared: SharedIds | None = None  # of versions that don't have `open_ids` yet

    def claim(self, request_id: int, may_run_again: bool = True) -> bool:
        """Open an id; return False if an open request has it, or one that may have run had it.

        During an upgrade ids are also compared with those of the other processes.
        """
        self._forget_expired()
        if request_id in self.open or request_id in self.kept_until:
            return False
        if not self._claim_at_all_processes(request_id, may_run_again):
            count("request_id_at_other_process")
            return False
        self.open.add(request_id)
        return True

    def _claim_at_all_processes(self, request_id: int, may_run_again: bool) -> bool:
        if self.open_ids is not None and not self.open_ids.claim(request_id):
            return False
        if self.shared is None or may_run_again or self.shared.claim(request_id):
            return True
        if self.open_ids is not None:
            self.open_ids.remove(request_id)
        return False

    def share_open(self, open_ids: OpenIds) -> None:
        """Tell all ids to the other processes of an upgrade, and heed theirs from now on."""
        self.open_ids = open_ids
        self._forget_expired()
        for request_id in (*self.open, *self.kept_until):
            open_ids.add(request_id)

    def share(self, shared: SharedIds) -> None:
        """Tell all ids to the other process of an upgrade, and heed those of the other from now on.

        Raises `OSError` if they can't be told.
        """
        known_elsewhere = self.shared.claimed_elsewhere if self.shared is not None else set()
        self._end_sharing_by_log()
        self._forget_expired()
        shared.tell([*self.open, *self.kept_until, *known_elsewhere])
        self.shared = shared

    def end_sharing(self) -> None:
        """Forget the other processes' ids: they have ended."""
        self._end_sharing_by_log()
        open_ids, self.open_ids = self.open_ids, None
        if open_ids is not None:
            open_ids.close()

    def _end_sharing_by_log(self) -> None:
        shared, self.shared = self.shared, None
        if shared is not None:
            shared.close()

    def release(self, request_id: int, may_not_run_again: bool = False) -> None:
        """Close an id; it is kept for a while if its request ran, or may have run, and may not run again."""
        if request_id not in self.open:
            return
        self.open.discard(request_id)
        if may_not_run_again:
            self.kept_until[request_id] = self.now() + RETENTION_TIME
            if len(self.kept_until) > self.max_kept:
                self._forget_first()
        elif self.open_ids is not None:
            self.open_ids.remove(request_id)

    def _forget_expired(self) -> None:
        now = self.now()
        while self.kept_until and next(iter(self.kept_until.values())) <= now:
            self._forget_first()

    def _forget_first(self) -> None:
        request_id, _ = self.kept_until.popitem(last=False)
        if self.open_ids is not None:
            self.open_ids.remove(request_id)
