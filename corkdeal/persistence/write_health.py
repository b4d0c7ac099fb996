"""Tracks failures to write: counts each one, logs the first and the recovery, and spaces out retries."""

from __future__ import annotations

import traceback
from collections import Counter

from .. import logs
from .errors import FolderLockedError

MAX_RETRY_DELAY = 10.0  # seconds between attempts while writing fails
LOCK_RETRY_DELAY = 2.0  # seconds between attempts while another process has locked the folder
MAX_BACKOFF_EXPONENT = 8


class WriteHealth:
    """The failures since the last successful write."""

    def __init__(self, folder: str, counts: Counter[str]) -> None:
        self.folder = folder
        self.counts = counts
        self.failures = 0
        self.is_locked = False

    def use_folder(self, folder: str) -> None:
        """Switch to another folder, without failures."""
        self.folder = folder
        self._reset()

    def record_failure(self, error: BaseException) -> None:
        """Count a failure to open or write; only the first since the last success is logged."""
        if isinstance(error, FolderLockedError):
            self._record_lock()
            return
        self.counts["knowledge_write_failed"] += 1
        if self.failures == 0:
            logs.event("knowledge_failing", error=f"{type(error).__name__}: {error}")
        self.failures += 1

    def record_capture_failure(self) -> None:
        """Count the exception being handled, which a bug in capturing state raised."""
        self.counts["knowledge_collect_failed"] += 1
        if self.failures == 0:
            logs.event("knowledge_collect_failed", trace=traceback.format_exc())
        self.failures += 1

    def record_success(self) -> None:
        """Record a successful write; logs the recovery if failures came before it."""
        if self.is_locked:
            logs.event("knowledge_unlocked", folder=self.folder)
        if self.failures:
            logs.event("knowledge_healed", after=self.failures)
        self._reset()

    def retry_delay(self, interval: float) -> float:
        """Return the seconds until the next attempt, at least `interval`."""
        if self.is_locked:
            return max(LOCK_RETRY_DELAY, interval)
        backoff = interval * 2.0 ** min(self.failures, MAX_BACKOFF_EXPONENT)
        return max(min(MAX_RETRY_DELAY, backoff), interval)

    def _record_lock(self) -> None:
        self.counts["knowledge_locked"] += 1
        if not self.is_locked:
            logs.event("knowledge_locked", folder=self.folder)
        self.is_locked = True

    def _reset(self) -> None:
        self.failures = 0
        self.is_locked = False
