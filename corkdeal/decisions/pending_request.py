"""The record of a request that still needs its final reply."""

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
    """A request that still needs its final reply."""

    request: Request
    request_class: RequestClass
    account: Account
    units: float  # its units, or 1 if the plan limits only concurrency
    deadline: float  # when its caller stops waiting
    is_inside_quota: bool = True  # whether it was within the customer's quota on arrival
    attempts: int = 0
    backend: BackendRecord | None = None  # backend of the attempt in flight
    is_streaming: bool = False
    is_cancelled: bool = False
    tried_backends: list[BackendRecord] = field(default_factory=list)
    may_have_run_at: float | None = None  # when the first attempt that may have run was sent
    may_have_run_on: BackendRecord | None = None
