"""Loads a gateway's newest snapshot before the start, then writes snapshots at intervals beside its reactor.

Everything that may block (opening, reading, compressing, syncing) runs in one daemon thread, one job at a
time. The reactor's thread captures state in steps of about a millisecond. Failures are counted, and the first
of a series is logged; the gateway keeps serving.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from typing import NamedTuple

from .. import __version__
from ..options import PersistenceOptions
from . import clock, snapshot_loader
from .capture import StateCapture
from .codec import SnapshotHead, encode_snapshot
from .host import DelayedCall, GatewayHost, Reactor, format_address
from .store import SnapshotStore, gateway_folder
from .worker import WorkerThread
from .write_health import WriteHealth

MAX_UNRECORDED_WRITE_TIME = 5.0  # seconds; the most that the duration of a write adds to `write_interval`
THREAD_NAME = "knowledge"


class WriteResult(NamedTuple):
    """A generation that is durable, and how long its write took."""

    generation: int
    duration: float  # seconds


class SnapshotWriter:
    """Writes one gateway's snapshots: call `load`, `start`, `reload` any number of times, then `stop`."""

    def __init__(
        self,
        reactor: Reactor,
        gateway: GatewayHost,
        options: PersistenceOptions,
        counts: Counter[str],
        store_factory: Callable[..., SnapshotStore] = SnapshotStore,
    ) -> None:
        self.reactor = reactor
        self.gateway = gateway
        self.options = options
        self.counts = counts
        self.store_factory = store_factory
        folder = gateway_folder(options.path, gateway.config.name)
        self.store = store_factory(folder, options.generations)
        self.worker = WorkerThread(THREAD_NAME)
        self.health = WriteHealth(folder, counts)
        self.capture = StateCapture(gateway.decisions, gateway.config.name, __version__)
        self.is_busy = False  # while a snapshot is captured or written
        self.is_stopped = False
        self._write_duration = 0.0  # seconds, of the last write
        self._timer: DelayedCall | None = None
        self._stop_deadline: DelayedCall | None = None
        self._on_idle: Callable[[], None] | None = None
        self._on_stopped: Callable[[], None] | None = None

    def load(self) -> None:
        """Restore the newest snapshot before the reactor runs; waits for it for at most `read_wait`."""
        try:
            loaded = snapshot_loader.load_snapshot(
                self.worker, self.store, self.options.read_wait, self.counts
            )
        except Exception as error:
            self.health.record_failure(error)
            return
        if loaded is None or loaded.snapshot is None:
            return
        restored = snapshot_loader.restore_snapshot(loaded, loaded.snapshot, self.gateway, self.counts)
        if restored is not None:
            self.capture.restored = restored

    def start(self) -> None:
        """Start to write at intervals."""
        self._schedule(self.options.every)

    def reload(self, options: PersistenceOptions) -> None:
        """Apply changed options; with another path the next write goes to a new store."""
        old_path = self.options.path
        self.options = options
        if old_path != options.path:
            self.worker.submit(self.store.close)
            folder = gateway_folder(options.path, self.gateway.config.name)
            self.store = self.store_factory(folder, options.generations)
            self.health.use_folder(folder)
        self.store.retained = options.generations
        if not self.is_busy:
            self._schedule(options.every)

    def stop(self, done: Callable[[], None], is_clean: bool = True) -> None:
        """Write a last snapshot, end the thread, then call `done`, at the latest after `stop_wait`.

        `is_clean` states that no units are spent afterwards. A second call only calls its `done`.
        """
        if self.is_stopped:
            done()
            return
        self.is_stopped = True
        cancel(self._timer)
        self._on_stopped = done
        self._stop_deadline = self.reactor.callLater(self.options.stop_wait, self._stop_timed_out)
        if self.is_busy:
            self._on_idle = lambda: self._write_last(is_clean)
        else:
            self._write_last(is_clean)

    # Capturing, one step per reactor iteration

    def _schedule(self, delay: float) -> None:
        """Schedule the next snapshot in `delay` seconds, instead of the one scheduled before."""
        cancel(self._timer)
        if not self.is_stopped:
            self._timer = self.reactor.callLater(delay, self._begin_snapshot)

    def _begin_snapshot(self) -> None:
        """Begin a snapshot, or skip it if the last one is not written yet."""
        self._schedule(self.options.every)
        if self.is_busy:
            self.counts["knowledge_write_skipped"] += 1
            return
        self.is_busy = True
        pages: list[bytes] = []
        self._continue_capture(self._capture_pages(pages), pages)

    def _capture_pages(self, pages: list[bytes]) -> Iterator[None]:
        """Capture the accounts and append their pages; yields between steps."""
        yield from self._capture_steps()
        yield
        for page in self.capture.pages():
            pages.append(page)
            yield

    def _continue_capture(self, steps: Iterator[None], pages: list[bytes]) -> None:
        """Take one step of the capture; after the last one write the snapshot."""
        if self.is_stopped:
            self._become_idle()
            return
        try:
            for _ in steps:
                self.reactor.callLater(0, self._continue_capture, steps, pages)
                return
            head = self._head(is_clean=False)
        except Exception:
            self.health.record_capture_failure()
            self._become_idle()
            return
        self._write(head, pages, self._write_done)

    def _capture_steps(self) -> Iterator[None]:
        return self.capture.steps(self.gateway.now, clock.read_clocks, time.perf_counter)

    def _head(self, is_clean: bool) -> SnapshotHead:
        """Return all of the snapshot but the accounts; `write_interval` includes the duration of a write."""
        addresses = {name: format_address(address) for name, address in self.gateway.pool.addresses.items()}
        write_interval = self.options.every + min(self._write_duration, MAX_UNRECORDED_WRITE_TIME)
        return self.capture.head(self.gateway.now(), clock.read_clocks(), write_interval, is_clean, addresses)

    # Writing, in the worker thread

    def _write(
        self, head: SnapshotHead, pages: list[bytes], done: Callable[[Future[WriteResult]], None]
    ) -> None:
        """Encode and write a snapshot in the worker thread, then call `done` in the reactor's thread."""
        started_at = time.monotonic()

        def write_snapshot() -> WriteResult:
            generation = self.store.write(lambda number: encode_snapshot(number, head, pages))
            return WriteResult(generation, time.monotonic() - started_at)

        future = self.worker.submit(write_snapshot)
        future.add_done_callback(lambda finished: self.reactor.callFromThread(done, finished))

    def _write_done(self, write: Future[WriteResult]) -> None:
        """Record the result of a write; a failed one is retried later."""
        error = write.exception()
        if error is None:
            self.health.record_success()
            self._write_duration = write.result().duration
            self.counts["knowledge_written"] += 1
        else:
            self.health.record_failure(error)
            self._schedule(self.health.retry_delay(self.options.every))
        self._become_idle()

    def _become_idle(self) -> None:
        """Mark the writer as idle, and continue a `stop` that waited for this."""
        self.is_busy = False
        callback = self._on_idle
        self._on_idle = None
        if callback is not None:
            callback()

    # Stopping

    def _write_last(self, is_clean: bool) -> None:
        """Capture the last snapshot in one reactor iteration and write it."""
        try:
            for _ in self._capture_steps():
                pass
            head = self._head(is_clean)
            pages = list(self.capture.pages())
        except Exception:
            self.health.record_capture_failure()
            self._finish_stop()
            return
        self._write(head, pages, self._last_write_done)

    def _last_write_done(self, write: Future[WriteResult]) -> None:
        error = write.exception()
        if error is None:
            self.counts["knowledge_written"] += 1
        else:
            self.health.record_failure(error)
        self._finish_stop()

    def _stop_timed_out(self) -> None:
        """End without the last snapshot, whose write takes longer than `stop_wait`."""
        self.counts["knowledge_stopped_late"] += 1
        self._finish_stop()

    def _finish_stop(self) -> None:
        """Close the store, end the thread and call the `done` of `stop`, once."""
        done = self._on_stopped
        if done is None:
            return
        self._on_stopped = None
        self._on_idle = None
        cancel(self._stop_deadline)
        self.gateway.decisions.changed_customers = None
        self.worker.submit(self.store.close)
        self.worker.stop()
        done()


def cancel(call: DelayedCall | None) -> None:
    """Cancel a delayed call, if there is one and it is still to be made."""
    if call is not None and call.active():
        call.cancel()
