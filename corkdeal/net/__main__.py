"""The gateway's program: configuration, signals and the reactor."""

from __future__ import annotations

import gc
import signal
import sys

from . import config


def main() -> int:
    """Serve until a planned end; bad configuration ends it with one line."""
    try:
        given = config.load()
    except config.ConfigError as error:
        print(f"corkdeal: {error}", file=sys.stderr)
        return 2
    from twisted.internet import reactor
    from twisted.logger import globalLogBeginner, textFileLogObserver

    from .gateway import Gateway

    globalLogBeginner.beginLoggingTo([textFileLogObserver(sys.stdout)], redirectStandardIO=False)
    gateway = Gateway(reactor, given)
    for each in (signal.SIGTERM, signal.SIGINT):
        signal.signal(each, lambda *_: reactor.callFromThread(gateway.drain))
    reactor.callWhenRunning(gateway.start)
    gc.collect()
    gc.freeze()  # what is loaded by now stays; later collections need not look at it
    reactor.run(installSignalHandlers=False)
    return 0


if __name__ == "__main__":
    sys.exit(main())
