"""`corkdeal halls`: who stands where by the operators' file."""

from __future__ import annotations

from typing import Any

import click

from . import json_option, tell


def halls_in(path: str) -> Any:
    """The `halls` node of a file; a click error where it can't be used or there is none."""
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
    help="The operators' file.",
)


@click.group("halls")
def command() -> None:
    """Look at halls as the operators' file has them."""


@command.command("where")
@click.argument("addresses", nargs=-1, required=True)
@options_option
@json_option
@click.pass_context
def where(ctx: click.Context, addresses: tuple[str, ...], options: str, as_json: bool) -> None:
    """Tell in which hall addresses stand. Exit code 1 if one stands in none."""
    from ..options.halls import nets_of

    nets = nets_of(halls_in(options))
    found = {address: nets.hall_of(address) for address in addresses}
    tell(found, as_json, "\n".join(f"{address} {hall or 'in no hall'}" for address, hall in found.items()))
    ctx.exit(0 if all(found.values()) else 1)


@command.command("tiers")
@click.argument("hall")
@options_option
@json_option
def tiers(hall: str, options: str, as_json: bool) -> None:
    """Print the tiers of a hall, nearest first."""
    from ..options.halls import tiers_of

    made = tiers_of(halls_in(options))
    if hall not in made.halls:
        raise click.ClickException(f"there is no hall {hall!r}; known are {', '.join(sorted(made.halls))}")
    found = [{"distance": made.distance(hall, tier[0]), "halls": list(tier)} for tier in made.tiers(hall)]
    tell(found, as_json, "\n".join(f"{t['distance']:g}: {', '.join(t['halls'])}" for t in found))
