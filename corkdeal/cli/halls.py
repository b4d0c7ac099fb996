"""`corkdeal halls`: shows the zones of addresses and the tiers of zones, by the options file."""

from __future__ import annotations

from typing import Any

import click

from . import json_option, tell


def halls_in(path: str) -> Any:
    """Return the `halls` node of an options file; raise a click error if it is invalid or missing."""
    from ..options import OptionsError, load

    try:
        made = load(path)
    except OptionsError as error:
        raise click.ClickException(str(error)) from None
    if made.halls is None:
        raise click.ClickException(f"{path}: has no halls node")
    return made.halls


options_option = click.option(
    "--options",
    type=click.Path(),
    envvar="CORKDEAL_OPTIONS",
    show_envvar=True,
    required=True,
    help="The options file.",
)


@click.group("halls")
def command() -> None:
    """Show zones as the options file defines them."""


@command.command("where")
@click.argument("addresses", nargs=-1, required=True)
@options_option
@json_option
@click.pass_context
def where(ctx: click.Context, addresses: tuple[str, ...], options: str, as_json: bool) -> None:
    """Print the zone of each address. Exit code 1 if any is in no zone."""
    from ..options.halls import nets_of

    nets = nets_of(halls_in(options))
    found = {address: nets.hall_of(address) for address in addresses}
    tell(found, as_json, "\n".join(f"{address} {hall or 'in no zone'}" for address, hall in found.items()))
    ctx.exit(0 if all(found.values()) else 1)


@command.command("tiers")
@click.argument("hall")
@options_option
@json_option
def tiers(hall: str, options: str, as_json: bool) -> None:
    """Print all zones by their distance from one, nearest first."""
    from ..options.halls import tiers_of

    made = tiers_of(halls_in(options))
    if hall not in made.halls:
        raise click.ClickException(f"unknown zone {hall!r}; known are {', '.join(sorted(made.halls))}")
    found = [{"distance": made.distance(hall, tier[0]), "halls": list(tier)} for tier in made.tiers(hall)]
    tell(found, as_json, "\n".join(f"{t['distance']:g}: {', '.join(t['halls'])}" for t in found))
