"""Runs the processes of a deployment, each with its settings file and log in a folder."""

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

_LOG_TAIL_LINES = 5


def wait_until(condition: Callable[[], Any], *, within_s: float = 20.0, what: str = "") -> Any:
    """Return the condition's first true value; fail with `what` if there is none in time."""
    deadline = time.monotonic() + within_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise AssertionError(f"condition not met within {within_s} s: {what or condition}")
        time.sleep(0.05)


class Processes:
    """Starts processes, sends signals to them and stops them.

    Args:
        folder: The folder for their settings and logs.
        guard: Held while a process is started, so that every started process is also recorded.
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
        """Start `python -m MODULE COMMAND FILE` with these settings in the file.

        Args:
            name: The name of the process.
            command: The arguments before the settings file.
            settings: The content of the settings file.
            module: The module to run.
            build: The source tree of the build to run; None for the current build.
        """
        self._builds[name] = build
        path = self._folder / f"{name}.jsonc"
        path.write_text(json.dumps(settings, indent=1))
        self._commands[name] = [sys.executable, "-m", module, *command, str(path)]
        self._start(name)

    def restart(self, name: str) -> None:
        """Kill a process if it runs, then start it with the same command and settings."""
        self.kill(name)
        self._start(name)

    def use_build(self, name: str, build: Path | None) -> None:
        """Set the build that a process runs from its next start on; None for the current build."""
        self._builds[name] = build

    def stop(self) -> None:
        """Kill all processes that still run."""
        for process in self._running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._running.values():
            process.wait()

    def kill(self, name: str) -> None:
        """Kill a process and wait for its exit."""
        self._running[name].kill()
        self._running[name].wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._running[name].send_signal(number)

    def runs(self, name: str) -> bool:
        """Whether a process still runs."""
        return self._running[name].poll() is None

    def log(self, name: str) -> str:
        """Return the whole log of a process."""
        return self._log_path(name).read_text()

    def state_report(self) -> str:
        """Return the state of each process and the last lines of its log, for error reports."""
        summaries = []
        for name, process in self._running.items():
            code = process.poll()
            state = "runs" if code is None else f"exited with {code}"
            last_lines = "\n  ".join(self.log(name).splitlines()[-_LOG_TAIL_LINES:])
            summaries.append(f"{name} {state}:\n  {last_lines}")
        return "\n".join(summaries)

    def _start(self, name: str) -> None:
        with self._guard(), self._log_path(name).open("ab") as log:
            # Python looks for the module in the current folder first, so `cwd` selects the build.
            self._running[name] = subprocess.Popen(
                self._commands[name], stdout=log, stderr=log, cwd=self._builds.get(name)
            )

    def _log_path(self, name: str) -> Path:
        return self._folder / f"{name}.log"


class ProcessDeployment:
    """A base class for deployments that are context managers.

    If the start fails, the exception gets a note with the state of each process.

    Attributes:
        processes: The processes of the deployment.
    """

    processes: Processes

    def start(self) -> None:
        """Start all processes and wait until the deployment is ready."""
        raise NotImplementedError

    def stop(self) -> None:
        """Kill all processes."""
        self.processes.stop()

    def __enter__(self) -> Self:
        try:
            self.start()
        except BaseException as error:
            error.add_note(self.processes.state_report())
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()
