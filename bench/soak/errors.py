"""Errors in the arguments of the soak; each message states the given and the allowed values."""

from __future__ import annotations

from collections.abc import Iterable


class SoakInputError(ValueError):
    """An argument that the soak cannot use."""


class UnknownMechanism(SoakInputError):
    """There is no mutation that disables the mechanism."""

    def __init__(self, name: str, known: Iterable[str]) -> None:
        super().__init__(f"unknown mechanism {name!r}; known are {', '.join(sorted(known))}")


class UnknownFault(SoakInputError):
    """There is no fault with this name."""

    def __init__(self, name: str, known: Iterable[str]) -> None:
        super().__init__(f"unknown fault {name!r}; known are {', '.join(known)}")


class BadSeed(SoakInputError):
    """The seed is not a whole number."""

    def __init__(self, text: str) -> None:
        super().__init__(f"a seed is a whole number, not {text!r}")


class BadMinutes(SoakInputError):
    """The length of the play is not a number or out of range."""

    def __init__(self, text: str, *, minimum: float, maximum: float) -> None:
        super().__init__(f"minutes are a number from {minimum:.2f} to {maximum:.0f}, not {text!r}")


class BadBoxes(SoakInputError):
    """The number of boxes is not a whole number or too small."""

    def __init__(self, text: str, *, minimum: int) -> None:
        super().__init__(f"boxes are a whole number of at least {minimum}, not {text!r}")


class TooManyBoxes(SoakInputError):
    """The processes need more than half of the machine's memory."""

    def __init__(self, boxes: int, *, needed_mb: int, allowed_mb: int) -> None:
        super().__init__(
            f"{boxes} boxes need {needed_mb} MB with all stand-ins; "
            f"half of this machine's memory is {allowed_mb} MB"
        )


class SeedAndReplay(SoakInputError):
    """Both `--seed` and `--replay` were given."""

    def __init__(self) -> None:
        super().__init__("either --seed or --replay, not both")


class BadFolder(SoakInputError):
    """The folder for the logs of failed seeds cannot be created."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"cannot create the folder {path!r}: {reason}")
