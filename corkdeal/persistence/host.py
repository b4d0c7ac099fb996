"""Protocols of the objects that the snapshot writer is given: the reactor and the gateway."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..decisions.gateway import Gateway
    from ..decisions.settings import Settings


class DelayedCall(Protocol):
    """A call that the reactor makes later."""

    def active(self) -> bool:
        """Whether the call is still to be made: neither made nor cancelled."""

    def cancel(self) -> None:
        """Cancel the call."""


class Reactor(Protocol):
    """The part of Twisted's reactor that is used here."""

    def callLater(self, delay: float, call: Callable[..., object], *args: object) -> DelayedCall:
        """Make a call after `delay` seconds."""

    def callFromThread(self, call: Callable[..., object], *args: object) -> None:
        """Make a call in the reactor's thread."""


class NamedConfig(Protocol):
    """The gateway's configuration."""

    @property
    def name(self) -> str:
        """The gateway's name."""


class AddressPool(Protocol):
    """The connections to backends."""

    @property
    def addresses(self) -> Mapping[str, tuple[str, int]]:
        """Host and port of each backend."""


class GatewayHost(Protocol):
    """The gateway process around the decisions."""

    @property
    def decisions(self) -> Gateway:
        """The decisions, whose state is captured and restored."""

    @property
    def settings(self) -> Settings:
        """The settings of the decisions."""

    @property
    def config(self) -> NamedConfig:
        """The gateway's configuration as far as it is used here."""

    @property
    def pool(self) -> AddressPool:
        """The pool of connections to backends."""

    def now(self) -> float:
        """Return the decisions' time in seconds."""


def format_address(address: tuple[str, int] | None) -> str:
    """Return an address in the form of a stored record; empty for None."""
    if address is None:
        return ""
    host, port = address
    return f"{host}:{port}"
