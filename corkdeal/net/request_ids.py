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
    from .shared_ids import SharedIds

RETENTION_TIME = 10.0  # s for which the id of a request that may not run twice is kept after its end


class RequestIds:
    """Open ids, and those kept after their requests have ended; `now` returns the time in s."""

    def __init__(self, now: Callable[[], float], max_kept: int) -> None:
        """At most `max_kept` ids of ended requests are kept, the latest ones."""
        self.now, self.max_kept = now, max_kept
        self.open: set[int] = set()
        self.kept_until: OrderedDict[int, float] = OrderedDict()  # the earliest first
        self.shared: SharedIds | None = None  # with the other process of an upgrade, while both serve

    def claim(self, request_id: int, may_run_again: bool = True) -> bool:
        """Open an id; return False if an open request has it, or one that may have run had it.

        Ids that may not run again are also compared with those of the other process of an upgrade.
        """
        self._forget_expired()
        if request_id in self.open or request_id in self.kept_until:
            return False
        if self.shared is not None and not may_run_again and not self.shared.claim(request_id):
            count("request_id_at_other_process")
            return False
        self.open.add(request_id)
        return True

    def share(self, shared: SharedIds) -> None:
        """Tell all ids to the other process of an upgrade, and heed those of the other from now on.

        Raises `OSError` if they can't be told.
        """
        known_elsewhere = self.shared.claimed_elsewhere if self.shared is not None else set()
        self.end_sharing()
        self._forget_expired()
        shared.tell([*self.open, *self.kept_until, *known_elsewhere])
        self.shared = shared

    def end_sharing(self) -> None:
        """Forget the other process's ids: it has ended."""
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
                self.kept_until.popitem(last=False)

    def _forget_expired(self) -> None:
        now = self.now()
        while self.kept_until and next(iter(self.kept_until.values())) <= now:
            self.kept_until.popitem(last=False)
