"""The record of a request that still needs its final answer."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .accounts import Account
from .events import Request
from .settings import RequestClass

if TYPE_CHECKING:
    from .backends import BackendRecord


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that still needs its final answer."""

    request: Request
    request_class: RequestClass
    account: Account
    units: float  # what the try counts: its units, or one where only attempts out are limited
    arrived_at: float
    deadline: float
    is_inside_quota: bool = True  # whether the customer's quota had room for it
    attempts: int = 0
    backend: BackendRecord | None = None  # where an attempt is out
    is_streaming: bool = False
    is_cancelled: bool = False
    tried_backends: list[BackendRecord] = field(default_factory=list)
    may_have_run_at: float | None = None  # when the first attempt that may have run was sent
    may_have_run_on: BackendRecord | None = None
