"""Slice-trading quota gateway: decisions in brain, its types in interface."""

from .decisions.gateway import Gateway

__all__ = ["Gateway"]
__version__ = "0.2.0"
