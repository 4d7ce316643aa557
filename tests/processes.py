"""Real springrock processes of one deployment, each with its settings and log in a folder."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from pathlib import Path
from typing import Any, Self

_LAST_LINES = 5


def wait_until(condition: Callable[[], Any], *, within_s: float = 20.0, what: str = "") -> Any:
    """Return the condition's first true value; fail with its name if none comes."""
    deadline = time.monotonic() + within_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise AssertionError(f"did not come about within {within_s} s: {what or condition}")
        time.sleep(0.05)


class Processes:
    """Starts processes, sends them signals and ends them all.

    Args:
        folder: Where their settings and logs are kept.
        guard: Held while a process is started, so that none is started and not noted.
    """

    def __init__(
        self, folder: Path, *, guard: Callable[[], AbstractContextManager[None]] = nullcontext
    ) -> None:
        self._folder = folder
        self._guard = guard
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        self._commands: dict[str, list[str]] = {}
        self._builds: dict[str, Path | None] = {}

    def __getitem__(self, name: str) -> subprocess.Popen[bytes]:
        return self._running[name]

    def spawn(
        self,
        name: str,
        command: list[str],
        settings: dict[str, Any],
        *,
        module: str = "springrock",
        build: Path | None = None,
    ) -> None:
        """Start `springrock COMMAND FILE` with these settings in the file.

        Args:
            name: The name of the process.
            command: What it is told beside the file.
            settings: What the file holds.
            module: The module that is run.
            build: The tree of the build that is run; this one if it is left out.
        """
        self._builds[name] = build
        path = self._folder / f"{name}.jsonc"
        path.write_text(json.dumps(settings, indent=1))
        self._commands[name] = [sys.executable, "-m", module, *command, str(path)]
        self._start(name)

    def restart(self, name: str) -> None:
        """Start one anew, with the same command and settings; kill it first if it still runs."""
        self.kill(name)
        self._start(name)

    def use_build(self, name: str, build: Path | None) -> None:
        """Let one run the build of a tree from its next start on; this build for None."""
        self._builds[name] = build

    def stop(self) -> None:
        """Kill all that still run."""
        for process in self._running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._running.values():
            process.wait()

    def kill(self, name: str) -> None:
        """Kill one and wait for its end."""
        self._running[name].kill()
        self._running[name].wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send one a signal."""
        self._running[name].send_signal(number)

    def runs(self, name: str) -> bool:
        """Whether one still runs."""
        return self._running[name].poll() is None

    def log(self, name: str) -> str:
        """Return all that one has written."""
        return self._log_path(name).read_text()

    def account(self) -> str:
        """Return how each process does, with the last lines of its log, for a failed start."""
        accounts = []
        for name, process in self._running.items():
            code = process.poll()
            state = "runs" if code is None else f"ended with {code}"
            last_lines = "\n  ".join(self.log(name).splitlines()[-_LAST_LINES:])
            accounts.append(f"{name} {state}:\n  {last_lines}")
        return "\n".join(accounts)

    def _start(self, name: str) -> None:
        with self._guard(), self._log_path(name).open("ab") as log:
            # The folder in which a module is run comes first among those that it is looked for in.
            self._running[name] = subprocess.Popen(
                self._commands[name], stdout=log, stderr=log, cwd=self._builds.get(name)
            )

    def _log_path(self, name: str) -> Path:
        return self._folder / f"{name}.log"


class RunsProcesses:
    """A deployment that `with` starts and stops; a failed start tells how each process did.

    Attributes:
        processes: Its processes.
    """

    processes: Processes

    def start(self) -> None:
        """Start everything and wait until it can be used."""
        raise NotImplementedError

    def stop(self) -> None:
        """Stop everything at once."""
        self.processes.stop()

    def __enter__(self) -> Self:
        try:
            self.start()
        except BaseException as error:
            error.add_note(self.processes.account())
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()
