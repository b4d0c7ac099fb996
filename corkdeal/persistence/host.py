"""What writing snapshots needs of the program around it, as Protocols."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..decisions.gateway import Gateway
    from ..decisions.settings import Settings


class DelayedCall(Protocol):
    """A call that the reactor will make."""

    def active(self) -> bool:
        """Whether it was neither made nor cancelled."""

    def cancel(self) -> None:
        """Have it not made."""


class Reactor(Protocol):
    """The part of Twisted's reactor that is used."""

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
    """A gateway on its sockets."""

    @property
    def decisions(self) -> Gateway:
        """Its decisions, whose state is captured and restored."""

    @property
    def settings(self) -> Settings:
        """The settings of the decisions."""

    @property
    def config(self) -> NamedConfig:
        """Its configuration."""

    @property
    def pool(self) -> AddressPool:
        """Its connections to backends."""

    def now(self) -> float:
        """The decisions' time in seconds."""


def format_address(address: tuple[str, int] | None) -> str:
    """Return an address as records state it, empty for none."""
    if address is None:
        return ""
    host, port = address
    return f"{host}:{port}"
