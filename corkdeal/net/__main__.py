"""The gateway's application: configuration, signals and the reactor."""

from __future__ import annotations

import gc
import os
import signal
import sys

GC_EVERY = 5000  # allocations more than frees; requests leave few cycles behind
OPTIONS = "CORKDEAL_OPTIONS"  # names the operators' file; without it all that it could switch on is off


def main() -> int:
    """Serve until a planned end; bad configuration ends it with a line a fault."""
    gc.disable()  # a start makes next to no garbage; looking for it took up to a fifth of its CPU time
    early: list[int] = []  # reloads asked for after the file was read, maybe, and before there is a gateway
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))  # its default ends the process
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
    if early:  # looked at last: from the line before on the other handler has them
        reactor.callFromThread(application.reload)
    reactor.callWhenRunning(application.start)
    gc.freeze()  # what is loaded by now stays; later collections need not look at it
    gc.set_threshold(GC_EVERY, 10, 50)
    gc.enable()
    reactor.run(installSignalHandlers=False)
    return 0


if __name__ == "__main__":
    sys.exit(main())
