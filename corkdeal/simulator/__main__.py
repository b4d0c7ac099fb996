"""`python -m corkdeal.simulator` runs the adapter on standard input and output."""

import sys

from .adapter import main

sys.exit(main())
