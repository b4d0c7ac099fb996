"""Entry point of the gateway process: loads the configuration, installs signal handlers, runs the reactor."""

from __future__ import annotations

import gc
import os
import signal
import sys

GC_EVERY = 5000  # allocations in excess of deallocations; requests create few reference cycles
OPTIONS = "CORKDEAL_OPTIONS"  # names the options file; without one, all optional subsystems are off


def main() -> int:
    """Serve until shutdown. If the configuration is invalid, print one line per error and return 2."""
    gc.disable()  # startup creates almost no garbage, and collections took up to a fifth of its CPU time
    early: list[int] = []  # SIGHUPs received before the gateway exists
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))  # the default ends the process
    from . import config

    options, path = None, os.environ.get(OPTIONS, "")
    try:
        given = config.load()
        if path:
            from ..options import load

            options = load(path)
    except ValueError as error:  # ConfigError and OptionsError
        for line in getattr(error, "faults", None) or [error]:
            print(f"corkdeal: {path + ': ' if line is not error else ''}{line}", file=sys.stderr)
        return 2
    from twisted.internet import reactor

    from .application import Application, log_to

    log_to(options, given.name)
    application = Application(reactor, given, options, path)
    for each in (signal.SIGTERM, signal.SIGINT):
        signal.signal(each, lambda *_: reactor.callFromThread(application.gateway.drain))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(application.reload))
    if early:  # the old file may have been read before the signal; the handler above has all later ones
        reactor.callFromThread(application.reload)
    reactor.callWhenRunning(application.start)
    gc.freeze()  # objects loaded so far are permanent; exclude them from later collections
    gc.set_threshold(GC_EVERY, 10, 50)
    gc.enable()
    reactor.run(installSignalHandlers=False)
    return 0


if __name__ == "__main__":
    sys.exit(main())
