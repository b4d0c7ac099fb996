"""`corkdeal version`: prints versions of the program, its file format and its libraries."""

from __future__ import annotations

import platform
from importlib import metadata

import click

from .. import __version__
from . import json_option, print_result


@click.command("version")
@json_option
def command(as_json: bool) -> None:
    """Print versions of the program, of the snapshot format, and of the libraries that matter for both."""
    from ..persistence.codec import CURRENT_FORMAT

    versions = {
        "corkdeal": __version__,
        "knowledge_format": CURRENT_FORMAT,
        "python": platform.python_version(),
    }
    versions |= {
        name: metadata.version(name) for name in ("Twisted", "msgspec", "zstandard", "blake3", "kdl-py")
    }
    print_result(versions, as_json, "\n".join(f"{name} {version}" for name, version in versions.items()))
