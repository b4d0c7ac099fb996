"""A daemon thread that runs jobs one after another."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable
from concurrent.futures import Future
from typing import TypeVar

Result = TypeVar("Result")


class WorkerThread:
    """Runs jobs in the order of submission. It is a daemon thread, so a job that hangs does not keep the
    process from ending.
    """

    def __init__(self, name: str) -> None:
        self._jobs: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def submit(self, work: Callable[[], Result]) -> Future[Result]:
        """Run `work` in the thread, and the callbacks of the returned future too.

        After `stop` the job is dropped, and its future is never done.
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
        """End the thread after the jobs submitted so far; returns at once and may be called again."""
        self._jobs.put(None)

    def join(self, timeout: float) -> bool:
        """Wait at most `timeout` seconds for the thread to end; returns whether it has."""
        self._thread.join(timeout)
        return not self._thread.is_alive()

    def _run(self) -> None:
        while (job := self._jobs.get()) is not None:
            job()
