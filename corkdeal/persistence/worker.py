"""One daemon thread that runs jobs in turn."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable
from concurrent.futures import Future
from typing import TypeVar

Result = TypeVar("Result")


class WorkerThread:
    """Runs jobs one after another; as a daemon, a job that hangs does not keep the process from ending."""

    def __init__(self, name: str) -> None:
        self._jobs: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def submit(self, work: Callable[[], Result]) -> Future[Result]:
        """Have `work` run in the thread; the future's callbacks run there as well.

        After `stop` it is dropped, and its future never done.
        """
        future: Future[Result] = Future()

        def job() -> None:
            try:
                result = work()
            except Exception as error:
                future.set_exception(error)
            else:
                future.set_result(result)

        self._jobs.put(job)
        return future

    def stop(self) -> None:
        """Let the thread end after the jobs that it has; returns at once and may be called again."""
        self._jobs.put(None)

    def join(self, timeout: float) -> bool:
        """Wait for the thread's end, at most `timeout` seconds; returns whether it has ended."""
        self._thread.join(timeout)
        return not self._thread.is_alive()

    def _run(self) -> None:
        while (job := self._jobs.get()) is not None:
            job()
