"""How long the watch pauses between its calls to discovery. Without I/O; randomness is passed in.

After a failed call two aims conflict. A change counts as told `TOLD_AFTER` after discovery has it and can be
reached, so no pause may reach beyond that. And where lists must be asked for, discovery is one service of
fixed capacity: a tier that calls again all at once keeps it from answering anybody. Pauses are therefore
drawn by chance and double from failure to failure, but a call begins at most `TOLD_AFTER - ANSWER_ALLOWANCE`
after the one that failed began. `docs/discovery.md` has the sums.
"""

from __future__ import annotations

import random

from ..decisions.settings import Settings

TOLD_AFTER = 6.0  # s after discovery has a change and can be reached, at which it counts as told
ANSWER_ALLOWANCE = 1.0  # s of these that are left to the call which brings the change
LEAST, MOST = 0.1, 1.0  # s, bounds of a pause where calls cost discovery nothing
# of the grace of a drain, at most, there: what there is when discovery is back counts at once
GRACE_PART = 0.8
SHARE = 0.1  # s for each gateway of the tier, over which calls that cost discovery work are spread
LONGEST = 4  # times that, at most: by then a service four times slower has time for everybody
STEADY = 0.5  # of the longest pause, at least, from the second failure on; the first has spread the tier


class RetryPauses:
    """The pauses of one watch."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.rng, self.pushed = rng, settings.is_endpoint_list_pushed
        self.spread = 0.0  # s over which the last pause was drawn; 0 after a success
        if self.pushed:
            self.least = LEAST
            self.most = max(LEAST, min(MOST, GRACE_PART * settings.drain_grace))
            self.at_start = 0.0
        else:
            self.least = SHARE * settings.gateway_count
            self.most = LONGEST * self.least
            # who has not asked for `ask_every` counts as told of what was listed then
            self.at_start = min(self.least, max(0.0, settings.poll_interval - ANSWER_ALLOWANCE))

    @property
    def failing(self) -> bool:
        """Whether the last call failed."""
        return self.spread > 0

    def before_first_call(self) -> float:
        """Seconds that a watch which holds a list waits at its start."""
        return self.at_start * self.rng.random()

    def after_failure(self, took: float, overloaded: bool = False) -> float:
        """Seconds until the next call, after one that failed `took` seconds after it began.

        One that waited in line and was turned away has cost an overloaded service work. Only there do
        pauses go on growing with the tier: calls that come too early would keep it overloaded for good.
        """
        is_first = not self.failing
        self.spread = min(self.most, max(self.least, 2 * self.spread))
        longest = self.spread
        if not overloaded:
            longest = min(longest, max(LEAST, TOLD_AFTER - ANSWER_ALLOWANCE - took))
        return longest * (self.rng.random() if is_first else self.rng.uniform(STEADY, 1.0))

    def after_success(self) -> None:
        """Begin anew at the next failure."""
        self.spread = 0.0
