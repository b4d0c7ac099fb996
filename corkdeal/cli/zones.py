"""`corkdeal halls`: shows the zones of addresses and the tiers of zones, by the options file."""

from __future__ import annotations

from typing import Any

import click

from . import json_option, print_result


def load_zones_options(path: str) -> Any:
    """Return the `halls` node of an options file; raise a click error if it is invalid or missing."""
    from ..options import OptionsError, load

    try:
        options = load(path)
    except OptionsError as error:
        raise click.ClickException(str(error)) from None
    if options.halls is None:
        raise click.ClickException(f"{path}: has no halls node")
    return options.halls


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
    """Show zones, the `hall` nodes of the options file."""


@command.command("where")
@click.argument("addresses", nargs=-1, required=True)
@options_option
@json_option
@click.pass_context
def where(ctx: click.Context, addresses: tuple[str, ...], options: str, as_json: bool) -> None:
    """Print the zone of each address. Exit code 1 if any is in no zone."""
    from ..options.zones import build_networks

    networks = build_networks(load_zones_options(options))
    zones = {address: networks.zone_of(address) for address in addresses}
    print_result(
        zones, as_json, "\n".join(f"{address} {zone or 'in no zone'}" for address, zone in zones.items())
    )
    ctx.exit(0 if all(zones.values()) else 1)


@command.command("tiers")
@click.argument("zone")
@options_option
@json_option
def tiers(zone: str, options: str, as_json: bool) -> None:
    """Print all zones by their distance from ZONE, nearest first."""
    from ..options.zones import build_distances

    distances = build_distances(load_zones_options(options))
    if zone not in distances.zones:
        raise click.ClickException(f"unknown zone {zone!r}; known are {', '.join(sorted(distances.zones))}")
    tiers_by_distance = [
        {"distance": distances.distance(zone, tier[0]), "halls": list(tier)} for tier in distances.tiers(zone)
    ]
    print_result(
        tiers_by_distance,
        as_json,
        "\n".join(f"{t['distance']:g}: {', '.join(t['halls'])}" for t in tiers_by_distance),
    )
