"""The command line, built with click: one module per command, imported only when the command is called.

Exit codes: 0 success, 1 what was examined is faulty or rejected, 2 wrong usage or unusable configuration.
"""

from __future__ import annotations

import importlib
from typing import Any

import click

COMMANDS = {
    "serve": ("serve", "Run the gateway until SIGTERM or SIGINT."),
    "check": ("check", "Check a configuration and an options file."),
    "experiment": ("experiment", "Run experiments with fake clients and backends."),
    "halls": ("zones", "Show zones, the `hall` nodes of the options file."),
    "knowledge": ("knowledge", "Show and repair persisted state."),
    "version": ("version", "Print versions of the program and its file format."),
}


class LazyGroup(click.Group):
    """A group that knows its commands by name and imports only the module of the one that is called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Import a command's module and return its `command`."""
        if name not in COMMANDS:
            return None
        command: click.Command = importlib.import_module(f".{COMMANDS[name][0]}", __name__).command
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the list of commands for --help without importing their modules."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, help_text) for name, (_, help_text) in sorted(COMMANDS.items())])


@click.command(
    cls=LazyGroup,
    context_settings={"help_option_names": ["-h", "--help"]},
    epilog='Shell completion: eval "$(_CORKDEAL_COMPLETE=bash_source corkdeal)" (or zsh_source, '
    "fish_source).",
)
def main() -> None:
    """A rate-limiting gateway and its operators' tools."""


def print_result(result: Any, as_json: bool, text: str) -> None:
    """Print a result, as one JSON document or as text."""
    if as_json:
        import orjson

        click.echo(orjson.dumps(result, default=str, option=orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS))
    else:
        click.echo(text)


json_option = click.option("--json", "as_json", is_flag=True, help="Print one JSON document.")
