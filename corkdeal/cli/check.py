"""`corkdeal check`: reports the faults of a configuration and of an options file, with their positions."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING, Any

import click

from . import json_option, print_result

if TYPE_CHECKING:
    from ..net.config import Config


def check_config(path: str) -> tuple[list[dict[str, Any]], list[str]]:
    """Return the first fault of a configuration, if any, since its reader stops there, and its warnings."""
    from ..net import config

    try:
        return [], warnings_of_config(config.load_config({"RELAY_CONFIG": path}))
    except config.ConfigError as error:
        key, _, rest = str(error).partition(" ")
        fault = {"file": path, "line": 0, "column": 0, "key": key.rstrip(":"), "fault": rest or str(error)}
        return [fault], []


def warnings_of_config(config: Config) -> list[str]:
    """Return what a valid configuration does not provide for."""
    from ..net.process_limits import MIN_DESCRIPTORS_FOR_UPGRADE, MIN_MEMORY_FOR_UPGRADE

    warnings = []
    if config.memory < MIN_MEMORY_FOR_UPGRADE:
        needed = math.ceil(MIN_MEMORY_FOR_UPGRADE / (1 << 20))
        warnings.append(f"limits.memory_mb: below {needed} the two processes of an upgrade may pass it")
    if config.sockets < MIN_DESCRIPTORS_FOR_UPGRADE:
        needed = MIN_DESCRIPTORS_FOR_UPGRADE
        warnings.append(f"limits.sockets: below {needed} the two processes of an upgrade may pass it")
    return warnings


def faults_of_options(path: str) -> tuple[list[dict[str, Any]], Any]:
    """Return all faults of an options file, and its records if there are none."""
    from ..options import OptionsError, load

    try:
        return [], load(path)
    except OptionsError as error:
        return [
            {"file": path, "line": f.line, "column": f.column, "key": f.node, "fault": f.text}
            for f in error.faults
        ], None


@click.command("check")
@click.option("--config", type=click.Path(), envvar="RELAY_CONFIG", show_envvar=True)
@click.option("--options", type=click.Path(), envvar="CORKDEAL_OPTIONS", show_envvar=True)
@json_option
@click.pass_context
def command(ctx: click.Context, config: str | None, options: str | None, as_json: bool) -> None:
    """Check files without serving. Faults have a key, and those of the options file line and column.

    Warnings name limits that are too small for an upgrade; they do not change the exit code.

    Exit code 0 if there is no fault, 1 if there is one, 2 if no file was named.
    """
    if not config and not options:
        raise click.UsageError("name a file with --config or --options")
    faults, warnings = check_config(config) if config else ([], [])
    enabled: dict[str, Any] = {}
    if options:
        option_faults, records = faults_of_options(options)
        faults += option_faults
        if records is not None:
            enabled = {
                f.name: dataclasses.asdict(value)
                for f in dataclasses.fields(records)
                if (value := getattr(records, f.name)) is not None
            }
    lines = [
        f"{f['file']}:{f['line']}:{f['column']}: {f['key']}: {f['fault']}"
        if f["line"]
        else f"{f['file']}: {f['key']}: {f['fault']}"
        for f in faults
    ]
    good = f"good; switched on: {', '.join(sorted(enabled)) or 'nothing'}"
    lines = [*(lines or [good]), *(f"{config}: warning: {warning}" for warning in warnings)]
    print_result({"faults": faults, "warnings": warnings, "on": enabled}, as_json, "\n".join(lines))
    ctx.exit(1 if faults else 0)
