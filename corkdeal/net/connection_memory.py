"""What one client connection makes the process hold, reported to the memory budget; no I/O of its own."""

from __future__ import annotations

from typing import Protocol

from .budget import CONNECTION_MEMORY, Budget


class PendingReply(Protocol):
    """A pending request, or a reply that waits for its turn."""

    held_bytes: int  # of the request, or of an immediate reply
    waiting_bytes: int  # of the answer, while it waits to be written


class ConnectionMemory:
    """The bytes held for one client connection; a holder of the memory budget."""

    def __init__(self, budget: Budget) -> None:
        self.budget = budget
        self.held_bytes = 0  # as reported to the budget
        self.pending_bytes = 0  # of pending requests and waiting answers

    def add(self, pending: PendingReply, size: int) -> None:
        """Count a pending request or immediate reply."""
        pending.held_bytes = size
        self.pending_bytes += size

    def add_answer(self, pending: PendingReply, size: int) -> None:
        """Count the answer of a pending request, which now replaces the request."""
        self.pending_bytes += size - pending.held_bytes
        pending.held_bytes, pending.waiting_bytes = 0, size
        self.budget.waiting_answers += size

    def remove(self, pending: PendingReply) -> None:
        """Count a pending request or answer no longer: it was written or is abandoned."""
        self.pending_bytes -= pending.held_bytes + pending.waiting_bytes
        self.budget.waiting_answers -= pending.waiting_bytes
        pending.held_bytes = pending.waiting_bytes = 0

    def update(self, buffered_bytes: int) -> None:
        """Report what is held now.

        `buffered_bytes` is the size of unparsed input and of bytes that the socket did not take.
        """
        size = CONNECTION_MEMORY + self.pending_bytes + buffered_bytes
        if size != self.held_bytes:
            self.budget.set_held(self, size)

    def close(self) -> None:
        """Report that nothing is held any more."""
        self.budget.set_held(self, 0)
