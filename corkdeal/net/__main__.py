"""Entry point of the gateway process: loads the configuration, installs signal handlers, runs the reactor."""

from __future__ import annotations

import gc
import os
import signal
import sys
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .application import Application

GC_THRESHOLD = 5000  # allocations in excess of deallocations; requests create few reference cycles
OPTIONS_VARIABLE = "CORKDEAL_OPTIONS"  # names the options file; without one, all optional subsystems are off


def install_signal_handlers(reactor: Any, application: Application) -> None:
    """Shut down at SIGTERM and SIGINT, and reload at SIGHUP, in the reactor's thread."""
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: reactor.callFromThread(application.gateway.shutdown.begin))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(application.reload))


def main() -> int:
    """Serve until shutdown. If the configuration is invalid, print one line per error and return 2."""
    gc.disable()  # startup creates almost no garbage, and collections took up to a fifth of its CPU time
    early_signals: list[int] = []  # SIGHUPs received before the gateway exists
    # The default action of SIGHUP ends the process.
    signal.signal(signal.SIGHUP, lambda number, _: early_signals.append(number))
    from . import config

    options, path = None, os.environ.get(OPTIONS_VARIABLE, "")
    try:
        gateway_config = config.load_config()
        if path:
            from ..options import load

            options = load(path)
    except ValueError as error:  # ConfigError and OptionsError
        for line in getattr(error, "faults", None) or [error]:
            print(f"corkdeal: {path + ': ' if line is not error else ''}{line}", file=sys.stderr)
        return 2
    handover_files = None
    if gateway_config.inherited is not None:  # a predecessor has to make room before the program is loaded
        from . import upgrade_start

        handover_files = upgrade_start.join(gateway_config)
    from twisted.internet import reactor

    from .application import Application, configure_logging

    configure_logging(options, gateway_config.name)
    application = Application(reactor, gateway_config, options, path, handover_files)
    install_signal_handlers(reactor, application)
    if early_signals:  # the old file may have been read before them; the handler above has all later ones
        reactor.callFromThread(application.reload)
    reactor.callWhenRunning(application.start)
    gc.freeze()  # objects loaded so far are permanent; exclude them from later collections
    gc.set_threshold(GC_THRESHOLD, 10, 50)
    gc.enable()
    reactor.run(installSignalHandlers=False)
    # The interpreter resets handlers while it ends; the default action would then replace the exit code.
    for signal_number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, signal.SIG_IGN)
    return 0


if __name__ == "__main__":
    sys.exit(main())
