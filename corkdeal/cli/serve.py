"""`corkdeal serve`: runs the gateway, as `python -m corkdeal.net` does."""

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
    help="The options file, KDL; without it every feature that it can switch on is off.",
)
@click.option("--debug", is_flag=True, help="Assert invariants instead of counting violations.")
def command(config: str, options: str | None, debug: bool) -> None:
    """Run the gateway until SIGTERM or SIGINT; SIGHUP reloads both files, each whole or not at all."""
    os.environ["RELAY_CONFIG"] = config
    if options:
        os.environ["CORKDEAL_OPTIONS"] = options
    else:
        os.environ.pop("CORKDEAL_OPTIONS", None)
    flags = [] if debug else ["-O"]
    sys.stdout.flush()
    # A new interpreter, since asserting invariants depends on its -O flag; it also keeps click out of memory.
    os.execv(sys.executable, [sys.executable, *flags, "-m", "corkdeal.net"])
