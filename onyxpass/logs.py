"""The structured log."""

import logging
import os
import sys
from pathlib import Path
from typing import Any, TextIO

import structlog

HISTORY = "ONYXPASS_HISTORY"  # names the file for the log of a command, which has none otherwise


def set_up_command() -> None:
    """What a command prints is its answer, so its log goes to a file of its own, if one is named."""
    if path := os.environ.get(HISTORY):
        set_up("info", Path(path).open("a", buffering=1))  # noqa: SIM115
    else:
        structlog.configure(logger_factory=structlog.ReturnLoggerFactory())


def set_up(level: str, to: TextIO | Any = None) -> None:
    """One JSON object a line on standard output, which is what the platform keeps as the log."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.dict_tracebacks,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelNamesMapping()[level.upper()]),
        logger_factory=structlog.PrintLoggerFactory(to or sys.stdout),
        cache_logger_on_first_use=True,
    )
