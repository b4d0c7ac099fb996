"""`corkdeal serve`: the gateway, as `python -m corkdeal.net` starts it."""

from __future__ import annotations

import os
import sys

import click


@click.command("serve")
@click.option(
    "--config",
    type=click.Path(),
    envvar="RELAY_CONFIG",
    show_envvar=True,
    required=True,
    help="The gateway's configuration, JSON.",
)
@click.option(
    "--options",
    type=click.Path(),
    envvar="CORKDEAL_OPTIONS",
    show_envvar=True,
    help="The operators' own file, KDL; without it all that it could switch on is off.",
)
@click.option("--debug", is_flag=True, help="Assert invariants instead of counting broken ones.")
def command(config: str, options: str | None, debug: bool) -> None:
    """Serve until SIGTERM or SIGINT; SIGHUP reads both files again, each whole or not at all."""
    os.environ["RELAY_CONFIG"] = config
    if options:
        os.environ["CORKDEAL_OPTIONS"] = options
    else:
        os.environ.pop("CORKDEAL_OPTIONS", None)
    flags = [] if debug else ["-O"]
    sys.stdout.flush()
    # A fresh interpreter: invariants are asserted or counted by a flag of its start, and click is not kept.
    os.execv(sys.executable, [sys.executable, *flags, "-m", "corkdeal.net"])
