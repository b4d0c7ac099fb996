"""The command line, on click: one module a command group, imported when its command is called.

Exit codes: 0 done, 1 the thing looked at is at fault or was refused, 2 the call or a configuration can't be
used.
"""

from __future__ import annotations

import importlib
from typing import Any

import click

COMMANDS = {
    "serve": ("serve", "Serve until a planned end (SIGTERM)."),
    "check": ("check", "Check a configuration and the operators' file."),
    "experiment": ("experiment", "Run experiments on stand-ins."),
    "halls": ("halls", "Look at halls as the operators' file has them."),
    "knowledge": ("knowledge", "Look at and repair what survives a restart."),
    "version": ("version", "Tell versions of the program and its file format."),
}


class Lazy(click.Group):
    """Knows its commands by name and imports the module of the one that is called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """All of them."""
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """One of them; its module holds it under `command`."""
        if name not in COMMANDS:
            return None
        command: click.Command = importlib.import_module(f".{COMMANDS[name][0]}", __name__).command
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """For --help, without importing any."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, said) for name, (_, said) in sorted(COMMANDS.items())])


@click.command(
    cls=Lazy,
    context_settings={"help_option_names": ["-h", "--help"]},
    epilog='Shell completion: eval "$(_CORKDEAL_COMPLETE=bash_source corkdeal)" (or zsh_source, '
    "fish_source).",
)
def main() -> None:
    """A rate-limiting gateway, and what its operators need round it."""


def tell(data: Any, as_json: bool, text: str) -> None:
    """Print a result, as one JSON document or for a person."""
    if as_json:
        import orjson

        click.echo(orjson.dumps(data, default=str, option=orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS))
    else:
        click.echo(text)


json_option = click.option("--json", "as_json", is_flag=True, help="Print one JSON document.")
