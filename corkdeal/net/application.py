"""Creates the gateway and the optional subsystems that are enabled; disabled ones are not imported."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from .. import logs
from .config import Config
from .gateway import Gateway
from .invariants import count, counts

if TYPE_CHECKING:
    from ..options import Options
    from ..persistence.handover_files import HandoverFiles
    from ..persistence.snapshot_writer import SnapshotWriter


class Application:
    """Owns the gateway and its optional subsystems: starts them, and reloads configuration and options."""

    def __init__(
        self,
        reactor: Any,
        config: Config,
        options: Options | None,
        options_path: str,
        handover_files: HandoverFiles | None = None,
    ) -> None:
        """`handover_files` are those of a process that shares its listening socket with a predecessor."""
        self.handover_files = handover_files
        self.reactor, self.config, self.options_path = reactor, config, options_path
        self.options = options
        self.gateway = Gateway(reactor, config)
        self.snapshot_writer: SnapshotWriter | None = None
        if options and options.recovery:  # before the restore: restored accounts also ask ring neighbours
            from .recovery import RecoveryService

            self.gateway.recovery = RecoveryService(reactor, self.gateway)
        if options and options.membership:
            from .membership import MembershipService

            self.gateway.membership = MembershipService(reactor, self.gateway)
        if options and options.knowledge:
            self.make_snapshot_writer(options).load()

    def start(self) -> None:
        """Start the subsystems and the gateway; persisted state has been restored by now."""
        if self.gateway.recovery is not None:
            self.gateway.recovery.start()
        if self.gateway.membership is not None:
            self.gateway.membership.start()
        if self.options and self.options.figures:
            from .metrics_log import MetricsLogger

            MetricsLogger(self.reactor, self.gateway, self.options.figures.every).start()
        if self.config.inherited is None:
            self.gateway.start()
        else:
            self.start_as_successor()
        if self.snapshot_writer:
            self.snapshot_writer.start()

    def start_as_successor(self) -> None:
        """Start as the successor of a running process, if there is one, with the quota it hands over."""
        from .limit_sharing import share_without_folder
        from .upgrade import UpgradeHandover

        try:
            handover = UpgradeHandover(self.reactor, self.gateway, self.handover_files)
            self.gateway.upgrade_handover = handover
            handover.join()
            handover.share_limits()
            handover.take_over(self.gateway.start)
        except OSError as error:
            self.gateway.upgrade_handover = None
            share_without_folder(self.reactor, self.gateway)
            count("handover_off")
            logs.event("handover_off", error=str(error)[:200])
            self.gateway.start()

    def make_snapshot_writer(self, options: Options) -> SnapshotWriter:
        """Create the snapshot writer and have it stopped at shutdown."""
        from ..persistence.snapshot_writer import SnapshotWriter

        self.snapshot_writer = SnapshotWriter(self.reactor, self.gateway, options.knowledge, counts)
        self.gateway.shutdown.subsystems_to_stop.append(self.snapshot_writer)
        return self.snapshot_writer

    def reload(self) -> None:
        """Reload the configuration and the options file (SIGHUP); each is applied as a whole or rejected."""
        self.gateway.reload()
        if not self.options_path:
            return
        from ..options import OptionsError, load

        try:
            new_options = load(self.options_path)
        except OptionsError as error:
            count("options_refused")
            return logs.event("reload_refused", error=str(error))
        old_options, self.options = self.options, new_options
        changed = [
            name
            for name in vars(new_options)
            if getattr(new_options, name) != getattr(old_options, name, None)
        ]
        if "log" in changed:
            configure_logging(new_options, self.config.name)
        if "knowledge" in changed:
            self.reload_snapshot_writer(new_options)
        logs.event("options_reloaded", changed=",".join(changed))

    def reload_snapshot_writer(self, options: Options) -> None:
        """Enable, disable or reconfigure the snapshot writer."""
        if self.snapshot_writer and options.knowledge:
            self.snapshot_writer.reload(options.knowledge)
        elif self.snapshot_writer:
            self.gateway.shutdown.subsystems_to_stop.remove(self.snapshot_writer)
            self.snapshot_writer.stop(lambda: None, is_clean=False)
            self.snapshot_writer = None
        else:
            self.make_snapshot_writer(options).start()


def configure_logging(options: Options | None, name: str) -> None:
    """Configure logging from the options file; without a `log` node, use Twisted's text observer."""
    from twisted.logger import (
        FilteringLogObserver,
        LogLevel,
        LogLevelFilterPredicate,
        globalLogBeginner,
        textFileLogObserver,
    )

    global _observer
    is_first_call = _observer is None
    if options and options.log:
        from ..logs import structured

        logs.configure(structured.make_sink(options.log.format, name), options.log.level)
        observer: Any = structured.observe_library_event
    else:
        logs.configure(None)
        levels = LogLevelFilterPredicate(defaultLogLevel=LogLevel.warn)
        levels.setLogLevelForNamespace("corkdeal", LogLevel.info)
        observer = FilteringLogObserver(textFileLogObserver(sys.stdout), [levels])
    if is_first_call:
        globalLogBeginner.beginLoggingTo([lambda entry: _observer(entry)], redirectStandardIO=False)
    _observer = observer


_observer: Any = None
