"""The command line."""

from __future__ import annotations

import signal
import sys
from typing import Literal

import gevent

from springrock import __version__, startup
from springrock.allocator import separate_large_blocks
from springrock.errors import SettingsError, SpringrockError
from springrock.log import log_to
from springrock.settings import BoxSettings, read_settings

_USAGE_ERROR_EXIT_CODE = 2


def serve(settings: str) -> int:
    """Run an entry box until SIGTERM or SIGINT.

    :param settings: The settings file, JSON with comments.
    """
    from springrock.box import Box

    separate_large_blocks()
    box = Box(read_settings(settings, BoxSettings))
    log_to(sys.stderr)
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, lambda: gevent.spawn(box.stop))
    box.start()
    box.stopped.wait()
    return 0


def entry(settings: str = "") -> int:
    """Run a box that forwards routed requests on the users' platform, until SIGTERM or SIGINT.

    :param settings: The settings file, JSON with comments; if empty, the one that the platform
        names in the environment.
    """
    from springrock.entry_process import run_entry

    return run_entry(settings)


def check(settings: str, *, kind: Literal["box", "entry"] = "box") -> int:
    """Check a settings file and print every error with its line and key.

    :param settings: The settings file, JSON with comments.
    :param kind: `box` for the settings of `springrock serve`, `entry` for `springrock entry`.
    """
    from springrock.entry_settings import EntrySettings

    read_settings(settings, BoxSettings if kind == "box" else EntrySettings)
    return 0


def standin(kind: str, settings: str) -> int:
    """Run a stand-in for an external system: platform, engine, service or proxy.

    :param kind: Which of these systems to emulate.
    :param settings: The settings file of the stand-in, JSON with comments.
    """
    from springrock.emulator import make_standin
    from springrock.emulator.platform import serve_forever
    from springrock.log import Log, log_to
    from springrock.loop_watch import LoopWatch

    gevent.signal_handler(signal.SIGTERM, sys.exit, 0)
    log_to()
    LoopWatch(Log("loop", kind)).start()
    serve_forever(make_standin(kind, settings))
    return 0


def demo(
    *, seconds: float = 15.0, seed: int = 1, shape: Literal["vanua", "agency"] = "vanua"
) -> int:
    """Serve a generated load in a single process; fail if a guarantee was violated.

    :param seconds: The duration of the load.
    :param seed: The random seed of the load.
    :param shape: Whose deployment to emulate: the co-operative's or the archive's.
    """
    from springrock.demo import run_demo

    return run_demo(seconds=seconds, seed=seed, shape=shape)


def load(settings: str, *, out: str = "") -> int:
    """Send a reproducible load to boxes, check every answer and print a report.

    :param settings: The load's settings file, JSON with comments.
    :param out: Write every outcome to this file as JSON.
    """
    from springrock.emulator.experiment import run_load

    return run_load(settings, out=out)


def report(*outcomes: str) -> int:
    """Print a table that compares the results of one or more load runs.

    :param outcomes: Files that springrock load wrote with --out.
    """
    from springrock.emulator.experiment import print_reports

    return print_reports(list(outcomes))


def ask(box: str, statement: str, *, key: str = "", json: bool = False, wait_s: float = 0.0) -> int:
    """Send a statement of the operators' language to a box.

    :param box: The address of the box's operator interface, HOST:PORT.
    :param statement: The statement; "help" lists all statements.
    :param key: The operator's key; if empty, the value of SPRINGROCK_KEY.
    :param json: Print JSON instead of a table.
    :param wait_s: After a change, wait this long for it to be in force on every box.
    """
    from springrock.operator_client import run_statement

    return run_statement(box, statement, key=key, as_json=json, wait_s=wait_s)


def main() -> None:
    """Run the command line."""
    try:
        code = _run(sys.argv[1:])
    except SettingsError as error:
        print(error, file=sys.stderr)
        code = _USAGE_ERROR_EXIT_CODE
    except SpringrockError as error:
        print(f"{type(error).__name__}: {error}", file=sys.stderr)
        code = 1
    sys.exit(code)


def _run(arguments: list[str]) -> int:
    # Importing the option parser takes a quarter of a box's start-up time, during which its
    # clients wait.
    match arguments:
        case ["entry"]:
            return entry()
        case ["entry", "-s" | "--settings", path] if not path.startswith("-"):
            return entry(path)
    import defopt

    startup.end()
    commands = [serve, entry, check, standin, demo, load, report, ask]
    code: int = defopt.run(
        commands, argv=arguments, version=f"springrock {__version__}", cli_options="has_default"
    )
    return code
