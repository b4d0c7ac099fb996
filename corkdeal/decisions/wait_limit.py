"""Limit on the wait in the backends' queues, so that callers with little time are not shut out.

Backends answer in the order of arrival. In an overload that lasts, a queue as long as each caller's time
allows is one that only callers with much time can join: they keep it long, and those with less are all
rejected, though no more requests are answered than with a shorter queue. So a request may wait no longer than
nearly all of the callers can, whatever time its own caller has.

The limit is a low quantile of the time that requests could wait, estimated by stochastic approximation
(Robbins and Monro 1951): each observation moves the estimate by a fraction of itself, up or down in the ratio
of the quantile. Times are in seconds.
"""

from __future__ import annotations

SHUT_OUT_FRACTION = 0.1  # of the requests, which could wait less than the limit
LEARNING_RATE = 0.05  # fraction of the estimate by which an observation moves it


class WaitLimit:
    """The time that all but a few requests could wait."""

    def __init__(self) -> None:
        self.estimate: float | None = None  # s; None before the first request

    def record(self, slack: float) -> None:
        """Record how long a request could wait: its caller's time left, less that of an attempt."""
        if slack <= 0:
            return  # no queue is short enough for it
        if self.estimate is None:
            self.estimate = slack
        elif slack < self.estimate:
            self.estimate *= 1 - LEARNING_RATE * (1 - SHUT_OUT_FRACTION)
        else:
            self.estimate *= 1 + LEARNING_RATE * SHUT_OUT_FRACTION

    def is_exceeded(self, wait: float) -> bool:
        """Return whether a wait is longer than nearly all requests could wait."""
        return self.estimate is not None and wait > self.estimate
