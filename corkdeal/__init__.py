"""A rate-limiting gateway that exchanges quota shares with its peers; `decisions` makes its decisions."""

from .decisions.gateway import Gateway

__all__ = ["Gateway"]
__version__ = "0.2.0"
