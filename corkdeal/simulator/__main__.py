"""Runs the adapter on standard input and output: `python -m corkdeal.simulator`."""

import sys

from .adapter import main

sys.exit(main())
