"""Keeps a gateway's knowledge beside its reactor: loads it before the start, writes it now and then.

All that may block (opening, reading, compressing, syncing) runs in one daemon thread, one job at a time. The
reactor collects in steps of a millisecond. Whatever fails costs a count and, at its first time, a line;
service goes on.
"""

from __future__ import annotations

import contextlib
import queue
import threading
import time
import traceback
from collections import Counter
from collections.abc import Callable
from typing import Any

from .. import __version__, logs
from ..options import KnowledgeOptions
from . import clock
from .capture import Collector
from .document import Head, encode
from .files import Locked
from .restore import Recall
from .store import Loaded, Store, folder_of

AGAIN_MOST = 10.0  # s between tries while writing fails
RELOCK_EVERY = 2.0  # s between looks whether another process has let go of the folder
SLOW_MOST = 5.0  # s of one write that count as unseen at the most
Done = Callable[[Any, BaseException | None], None]


class Worker:
    """A daemon thread that runs jobs in turn: a store that hangs must not keep the process from ending."""

    def __init__(self) -> None:
        self.jobs: queue.SimpleQueue[tuple[Callable[[], Any], Done] | None] = queue.SimpleQueue()
        threading.Thread(target=self.run, name="knowledge", daemon=True).start()

    def run(self) -> None:
        """Until told to end."""
        while (job := self.jobs.get()) is not None:
            work, done = job
            try:
                result, error = work(), None
            except Exception as raised:
                result, error = None, raised
            done(result, error)

    def submit(self, work: Callable[[], Any], done: Done) -> None:
        """Run `work` in the thread, then `done` with its result or its error, in the thread as well."""
        self.jobs.put((work, done))

    def end(self) -> None:
        """Let the thread end after what it has to do."""
        self.jobs.put(None)


class Keeper:
    """One gateway's knowledge; `gateway` is the program's on its sockets."""

    def __init__(
        self,
        reactor: Any,
        gateway: Any,
        options: KnowledgeOptions,
        counts: Counter[str],
        opener: Callable[..., Store] = Store,
    ) -> None:
        self.reactor, self.gateway, self.options, self.counts, self.opener = (
            reactor,
            gateway,
            options,
            counts,
            opener,
        )
        self.worker = Worker()
        self.folder = folder_of(options.path, gateway.config.name)
        self.store = opener(self.folder, options.generations)
        self.collector = Collector(gateway.decisions, gateway.config.name, __version__)
        self.busy = False  # a document is being made or written
        self.failures = 0
        self.locked = False
        self.took = 0.0  # s, the last write
        self.timer: Any = None
        self.stopped = False
        self.when_idle: Callable[[], None] | None = None

    # At the start, before the reactor runs

    def load(self) -> None:
        """Have the knowledge in force, or give up after `read_wait`; a late answer is dropped."""
        answered, began = threading.Event(), time.monotonic()
        box: list[tuple[Loaded | None, BaseException | None]] = []

        def work() -> Loaded:
            self.store.open()
            return self.store.load()

        self.worker.submit(work, lambda result, error: (box.append((result, error)), answered.set()))
        if not answered.wait(self.options.read_wait):
            self.counts["knowledge_late"] += 1
            return logs.event("knowledge_late", waited=round(time.monotonic() - began, 3))
        loaded, error = box[0]
        if error is not None:
            return self.failed(error)
        assert loaded is not None
        for each in loaded.refused:
            self.counts["knowledge_refused"] += 1
            logs.event("knowledge_refused", file=each.file, why=each.why)
        if loaded.document is None:
            return logs.event("knowledge_none", folder=self.folder)
        self.put(loaded)

    def put(self, loaded: Loaded) -> None:
        """Give a document to the decisions."""
        document = loaded.document
        assert document is not None
        if document.head.name != self.gateway.config.name:
            self.counts["knowledge_foreign"] += 1
            return logs.event("knowledge_foreign", file=loaded.file, name=document.head.name)
        age, odd = clock.age(document.head.clock, clock.read_clocks())
        self.counts.update(odd)
        pool = self.gateway.pool
        recall = Recall(
            document,
            age,
            self.gateway.now(),
            self.gateway.settings,
            lambda name: address_text(pool.addresses.get(name)),
            self.counts,
        )
        if recall.useless:
            self.counts["knowledge_useless"] += 1
            return logs.event("knowledge_useless", file=loaded.file, age=shown(age), odd=",".join(odd))
        self.collector.recall = recall
        self.gateway.decisions.remember(recall)
        logs.event(
            "knowledge_loaded",
            file=loaded.file,
            format=loaded.format,
            age=shown(age),
            servers=len(recall.servers),
            accounts=len(recall.raw),
            resumes=recall.resumes(),
            odd=",".join(odd),
        )

    # While it runs

    def start(self) -> None:
        """Write from now on."""
        self.again(self.options.every)

    def again(self, delay: float) -> None:
        """Have the next document begun after a while."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if not self.stopped:
            self.timer = self.reactor.callLater(delay, self.begin)

    def begin(self) -> None:
        """Begin a document, unless the last one is not written yet: then this one is left out."""
        if self.busy:
            self.counts["knowledge_write_skipped"] += 1
            return self.again(self.options.every)
        self.busy = True
        self.again(self.options.every)
        try:
            steps = self.collector.steps(self.gateway.now, clock.read_clocks, time.perf_counter)
        except Exception:
            return self.broken()
        self.step(steps, [])

    def step(self, steps: Any, pages: list[bytes], paging: bool = False) -> None:
        """One step of collecting a turn; then the pages, then the head."""
        if self.stopped:
            return self.idle()
        try:
            for made in steps:
                if paging:
                    pages.append(made)
                return self.later(steps, pages, paging)
            if not paging:
                return self.later(self.collector.pages(), pages, True)
            self.submit(self.head(False), pages, self.written)
        except Exception:
            self.broken()

    def later(self, steps: Any, pages: list[bytes], paging: bool) -> None:
        """Go on in the reactor's next turn."""
        self.reactor.callLater(0, self.step, steps, pages, paging)

    def head(self, clean: bool) -> Head:
        """All but the accounts; what a write may take counts as unseen too."""
        pool = self.gateway.pool
        addresses = {name: address_text(at) for name, at in pool.addresses.items()}
        return self.collector.head(
            self.gateway.now(),
            clock.read_clocks(),
            self.options.every + min(self.took, SLOW_MOST),
            clean,
            addresses,
        )

    def submit(self, head: Head, pages: list[bytes], done: Done) -> None:
        """Have the thread compress, seal and write it."""
        began = time.monotonic()

        def work() -> tuple[int, float]:
            generation = self.store.write(lambda number: encode(number, head, pages))
            return generation, time.monotonic() - began

        self.worker.submit(work, lambda *result: self.reactor.callFromThread(done, *result))

    def written(self, result: tuple[int, float] | None, error: BaseException | None) -> None:
        """A write ended."""
        if error is not None:
            self.failed(error)
            later = min(AGAIN_MOST, self.options.every * 2 ** min(self.failures, 8))
            self.again(max(RELOCK_EVERY if self.locked else later, self.options.every))
        else:
            self.healed()
            assert result is not None
            self.took = result[1]
            self.counts["knowledge_written"] += 1
        self.idle()

    def idle(self) -> None:
        """Nothing is being made or written."""
        self.busy = False
        if self.when_idle is not None:
            then, self.when_idle = self.when_idle, None
            then()

    def broken(self) -> None:
        """A bug while collecting: no knowledge is worth a gateway."""
        self.counts["knowledge_collect_failed"] += 1
        if self.failures == 0:
            logs.event("knowledge_collect_failed", trace=traceback.format_exc())
        self.failures += 1
        self.idle()

    def failed(self, error: BaseException) -> None:
        """Opening or writing failed; one line until it heals."""
        if isinstance(error, Locked):
            self.counts["knowledge_locked"] += 1
            if not self.locked:
                logs.event("knowledge_locked", folder=self.folder)
            self.locked = True
            return
        self.counts["knowledge_write_failed"] += 1
        if self.failures == 0:
            logs.event("knowledge_failing", error=f"{type(error).__name__}: {error}")
        self.failures += 1

    def healed(self) -> None:
        """Writing works."""
        if self.locked:
            logs.event("knowledge_unlocked", folder=self.folder)
        if self.failures:
            logs.event("knowledge_healed", after=self.failures)
        self.locked, self.failures = False, 0

    def reload(self, options: KnowledgeOptions) -> None:
        """Follow the operators' file; another path is another store, from the next write on."""
        old, self.options = self.options, options
        if old.path != options.path:
            store, self.folder = self.store, folder_of(options.path, self.gateway.config.name)
            self.store = self.opener(self.folder, options.generations)
            self.worker.submit(store.close, lambda *_: None)
            self.locked, self.failures = False, 0
        self.store.generations = options.generations
        if not self.busy:
            self.again(options.every)

    # At the end

    def stop(self, done: Callable[[], None], clean: bool = True) -> None:
        """Write once more, then `done`, at once if that takes longer than `stop_wait`."""
        self.stopped = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        called = self.reactor.callLater(self.options.stop_wait, lambda: finish(late=True))

        def finish(late: bool = False) -> None:
            nonlocal done
            if late:
                self.counts["knowledge_stopped_late"] += 1
            elif called.active():
                called.cancel()
            then, done = done, lambda: None
            self.gateway.decisions.changed_customers = None
            self.worker.submit(self.store.close, lambda *_: None)
            self.worker.end()
            then()

        def last(result: Any = None, error: BaseException | None = None) -> None:
            if error is not None:
                self.failed(error)
            elif result is not None:
                self.counts["knowledge_written"] += 1
            finish()

        def write() -> None:
            try:
                for _ in self.collector.steps(self.gateway.now, clock.read_clocks, time.perf_counter):
                    pass
                self.submit(self.head(clean), list(self.collector.pages()), last)
            except Exception:
                self.broken()
                finish()

        if self.busy:
            self.when_idle = write
        else:
            write()


def address_text(at: tuple[str, int] | None) -> str:
    """An address as records have it."""
    return f"{at[0]}:{at[1]}" if at else ""


def shown(age: float) -> str:
    """An age for a line of the log."""
    with contextlib.suppress(OverflowError):
        return f"{age:.3f}" if age < 1e12 else "endless"
    return "endless"
