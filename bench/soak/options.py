"""Parses and checks the command's arguments."""

from __future__ import annotations

import argparse
import math
import os
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from bench.soak.errors import (
    BadBoxes,
    BadFolder,
    BadMinutes,
    BadSeed,
    SeedAndReplay,
    TooManyBoxes,
    UnknownFault,
    UnknownMechanism,
)
from bench.soak.faults import FAULTS
from bench.soak.mechanisms import MECHANISMS
from bench.soak.shape import Shape

PROCESS_MB = 70
"""The most memory that a process of the soak uses, be it a box or a stand-in."""

_MIN_BOXES = 2
_MIN_MINUTES = 0.25
"""The shortest play with some faults and the quiet span after them."""

_MAX_MINUTES = 600.0
_RANDOM_SEEDS_MINUTES = 10.0
PLAY_S = 30.0
"""The length of one play, unless a seed and its minutes are given."""


class Options(NamedTuple):
    """The seeds to play, and how.

    Attributes:
        seed: The seed; None to play random seeds until the time is over.
        seconds: The length of the play, or of all plays of random seeds together.
        boxes: The number of boxes.
        without: The mechanism to disable; empty for none.
        only: The only fault to draw; empty for all.
        keep: The folder that keeps the logs and findings of failed seeds.
    """

    seed: int | None
    seconds: float
    boxes: int
    without: str
    only: str
    keep: Path


def read_options(arguments: Sequence[str]) -> Options:
    """Return the checked options.

    Raises:
        SoakInputError: If an argument cannot be used.
    """
    given = _parser().parse_args(arguments)
    if given.seed is not None and given.replay is not None:
        raise SeedAndReplay()
    text = given.seed if given.replay is None else given.replay
    seed = None if text is None else _seed_from(text)
    default_s = _RANDOM_SEEDS_MINUTES * 60 if seed is None else PLAY_S
    seconds = default_s if given.minutes is None else _minutes_from(given.minutes) * 60
    if given.without and given.without not in MECHANISMS:
        raise UnknownMechanism(given.without, MECHANISMS)
    if given.only and given.only not in FAULTS.names:
        raise UnknownFault(given.only, FAULTS.names)
    boxes = _boxes_from(given.boxes, memory_mb=machine_memory_mb())
    return Options(seed, seconds, boxes, given.without, given.only, _folder_from(given.keep))


def machine_memory_mb() -> int:
    """Return the physical memory of this machine in MiB."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") // 2**20


def check_memory(boxes: int, *, memory_mb: int) -> None:
    """Check that all processes of a soak fit into half of a machine's memory.

    Raises:
        TooManyBoxes: If they do not.
    """
    needed_mb = Shape.from_boxes(boxes).processes * PROCESS_MB
    if needed_mb > memory_mb // 2:
        raise TooManyBoxes(boxes, needed_mb=needed_mb, allowed_mb=memory_mb // 2)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m bench.soak",
        description="Plays seeded faults on real boxes and judges what callers and replicas see.",
        allow_abbrev=False,
    )
    parser.add_argument("--seed", help="play this seed once; without it random seeds are played")
    parser.add_argument("--replay", help="play a failed seed again; same as --seed")
    parser.add_argument(
        "--minutes", help="length of the play, or of all plays of random seeds together"
    )
    parser.add_argument("--boxes", default="4", help="number of boxes")
    parser.add_argument(
        "--without",
        default="",
        help=f"mechanism to disable: one of {', '.join(sorted(MECHANISMS))}",
    )
    parser.add_argument(
        "--only", default="", help=f"fault to draw and no other: one of {', '.join(FAULTS.names)}"
    )
    parser.add_argument(
        "--keep",
        default=tempfile.gettempdir(),
        help="folder for the logs and findings of failed seeds",
    )
    return parser


def _folder_from(path: str) -> Path:
    folder = Path(path)
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise BadFolder(path, error.strerror or str(error)) from None
    return folder


def _seed_from(text: str) -> int:
    if not text.isascii() or not text.isdigit():
        raise BadSeed(text)
    return int(text)


def _minutes_from(text: str) -> float:
    try:
        minutes = float(text)
    except ValueError:
        minutes = math.nan
    if not _MIN_MINUTES <= minutes <= _MAX_MINUTES:
        raise BadMinutes(text, minimum=_MIN_MINUTES, maximum=_MAX_MINUTES)
    return minutes


def _boxes_from(text: str, *, memory_mb: int) -> int:
    if not text.isascii() or not text.isdigit() or int(text) < _MIN_BOXES:
        raise BadBoxes(text, minimum=_MIN_BOXES)
    boxes = int(text)
    check_memory(boxes, memory_mb=memory_mb)
    return boxes
