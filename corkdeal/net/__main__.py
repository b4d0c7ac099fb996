"""The gateway's program: configuration, signals and the reactor."""

from __future__ import annotations

import gc
import signal
import sys

from . import config

GC_EVERY = 5000  # allocations more than frees; requests leave few cycles behind


def main() -> int:
    """Serve until a planned end; bad configuration ends it with one line."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is a gateway; its default ends it
    try:
        given = config.load()
    except config.ConfigError as error:
        print(f"corkdeal: {error}", file=sys.stderr)
        return 2
    from twisted.internet import reactor
    from twisted.logger import (
        FilteringLogObserver,
        LogLevel,
        LogLevelFilterPredicate,
        globalLogBeginner,
        textFileLogObserver,
    )

    from .gateway import Gateway

    levels = LogLevelFilterPredicate(defaultLogLevel=LogLevel.warn)
    levels.setLogLevelForNamespace("corkdeal", LogLevel.info)
    observer = FilteringLogObserver(textFileLogObserver(sys.stdout), [levels])
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False)
    gateway = Gateway(reactor, given)
    for each in (signal.SIGTERM, signal.SIGINT):
        signal.signal(each, lambda *_: reactor.callFromThread(gateway.drain))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(gateway.reload))
    reactor.callWhenRunning(gateway.start)
    gc.collect()
    gc.freeze()  # what is loaded by now stays; later collections need not look at it
    gc.set_threshold(GC_EVERY, 10, 50)
    reactor.run(installSignalHandlers=False)
    return 0


if __name__ == "__main__":
    sys.exit(main())
