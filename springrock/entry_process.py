"""The process of a forwarding box: settings, signals, log output, start and stop."""

from __future__ import annotations

import faulthandler
import os
import signal
import sys
from pathlib import Path

import gevent

from springrock import startup
from springrock.allocator import separate_large_blocks
from springrock.entry import EntryBox
from springrock.entry_settings import EntrySettings
from springrock.errors import SettingsError
from springrock.log import BoundedLines, Log, log_to
from springrock.platform.names import SETTINGS_VARIABLE
from springrock.settings import read_settings

_SETTINGS_POLL_INTERVAL_S = 1.0


def run_entry(settings_path: str = "") -> int:
    """Run a forwarding box until SIGTERM or SIGINT; return the exit code.

    Args:
        settings_path: The settings file; if empty, the platform's environment variable names it.

    Raises:
        SettingsError: If the settings cannot be used.
    """
    faulthandler.enable()
    separate_large_blocks()
    path = settings_path or os.environ.get(SETTINGS_VARIABLE, "")
    settings = read_settings(path, EntrySettings)
    lines = BoundedLines(sys.stdout.fileno())
    log_to(lines)
    box = EntryBox(settings)
    box.metrics.dropped_lines.set_function(lambda: float(lines.dropped))
    watcher = _SettingsWatcher(path, box)
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, lambda: gevent.spawn(box.stop))
    gevent.signal_handler(signal.SIGHUP, lambda: gevent.spawn(watcher.reload))
    box.start()
    startup.end()
    gevent.spawn(watcher.run)
    box.stopped.wait()
    lines.flush()
    return 0


class _SettingsWatcher:
    """Reloads the settings when the file changes or on a signal."""

    def __init__(self, path: str, box: EntryBox) -> None:
        self._path = Path(path)
        self._box = box
        self._log = Log("settings", box.settings.box.name)
        self._loaded_mtime_ns = self._read_mtime_ns()

    def run(self) -> None:
        """Check periodically whether the file has changed; never returns."""
        while True:
            gevent.sleep(_SETTINGS_POLL_INTERVAL_S)
            if self._read_mtime_ns() != self._loaded_mtime_ns:
                self.reload()

    def reload(self) -> None:
        """Load the file into the box; the old settings stay if the file is invalid."""
        self._loaded_mtime_ns = self._read_mtime_ns()
        try:
            self._box.reload(read_settings(self._path, EntrySettings))
        except SettingsError as error:
            self._log.info("Kept the old settings.", error=str(error))

    def _read_mtime_ns(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            return 0
