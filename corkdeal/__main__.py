"""Runs the command line as `python -m corkdeal`."""

from .cli import main

main(prog_name="corkdeal")
