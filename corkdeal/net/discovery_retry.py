"""Backoff between the watch's calls to discovery. Without I/O; the random generator is passed in.

After a failed call two aims conflict. A gateway counts as notified of a change `NOTIFIED_AFTER` after
discovery has it and is reachable, so no pause may be longer. But a discovery that does not push its list is a
single service of fixed capacity: a tier that retries all at once keeps it from answering any gateway. Pauses
are therefore random and double with each failure, but a call starts at most `NOTIFIED_AFTER - CALL_ALLOWANCE`
after the start of the failed one. `docs/discovery.md` has the calculation.
"""

from __future__ import annotations

import random

from ..decisions.settings import Settings

NOTIFIED_AFTER = 6.0  # s after discovery has a change and is reachable, at which a gateway counts as notified
CALL_ALLOWANCE = 1.0  # s of NOTIFIED_AFTER reserved for the call that returns the change
MIN_PAUSE, MAX_PAUSE = 0.1, 1.0  # s, bounds of a pause if discovery pushes its list and calls cost it nothing
# upper bound of a pause if the list is pushed, as a share of the drain grace: changes that happened during an
# outage count as notified as soon as discovery is back
DRAIN_GRACE_SHARE = 0.8
SPREAD_PER_GATEWAY = 0.1  # s per gateway of the tier, over which calls are spread if the list is not pushed
MAX_SPREAD_FACTOR = 4  # largest spread over the smallest; covers a service four times slower than assumed
# lower bound of a pause from the second failure on, as a share of the longest one; the first pause, which has
# no lower bound, has already spread the tier
MIN_RETRY_SHARE = 0.5


class RetryPauses:
    """The pauses between the calls of one watch."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.rng, self.is_pushed = rng, settings.is_endpoint_list_pushed
        self.spread = 0.0  # s; upper bound of the last random pause, 0 after a success
        if self.is_pushed:
            self.min_spread = MIN_PAUSE
            self.max_spread = max(MIN_PAUSE, min(MAX_PAUSE, DRAIN_GRACE_SHARE * settings.drain_grace))
            self.initial_spread = 0.0
        else:
            self.min_spread = SPREAD_PER_GATEWAY * settings.gateway_count
            self.max_spread = MAX_SPREAD_FACTOR * self.min_spread
            # a gateway that has not called for `poll_interval` counts as notified of the list as of then
            self.initial_spread = min(self.min_spread, max(0.0, settings.poll_interval - CALL_ALLOWANCE))

    @property
    def failing(self) -> bool:
        """Whether the last call failed."""
        return self.spread > 0

    def before_first_call(self) -> float:
        """Return the seconds that a watch that starts with a list waits before its first call."""
        return self.initial_spread * self.rng.random()

    def after_failure(self, elapsed: float, overloaded: bool = False) -> float:
        """Return the seconds until the next call, after one that failed `elapsed` seconds after its start.

        A call that was queued and then rejected has cost an overloaded service work. Only after such calls
        may pauses exceed the bound by `NOTIFIED_AFTER`: retrying sooner would keep the service overloaded.
        """
        is_first = not self.failing
        self.spread = min(self.max_spread, max(self.min_spread, 2 * self.spread))
        longest = self.spread
        if not overloaded:
            longest = min(longest, max(MIN_PAUSE, NOTIFIED_AFTER - CALL_ALLOWANCE - elapsed))
        return longest * (self.rng.random() if is_first else self.rng.uniform(MIN_RETRY_SHARE, 1.0))

    def after_success(self) -> None:
        """Reset the backoff."""
        self.spread = 0.0
