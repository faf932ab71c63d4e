"""The structured log."""

import logging
import os
import sys
from typing import Any, TextIO, cast

import structlog

# The file for the log of a command; without it a command has no log.
LOG_FILE_VARIABLE = "ONYXPASS_HISTORY"


class LogFile:
    """Writes whole lines to a descriptor and drops and counts those that cannot be written.

    A full disk or a closed reader must not fail a request: an exception from a log call would abort
    the step that logs. The next line that can be written is preceded by the number of dropped lines.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._line = ""
        self._partial_line = False  # whether the file ends with a part of a line
        self.dropped = 0

    def write(self, text: str) -> int:
        self._line += text
        if self._line.endswith("\n"):
            line, self._line = self._line, ""
            self._write_line(line.encode(errors="backslashreplace"))
        return len(text)

    def flush(self) -> None:
        """Do nothing: every line is written at once."""

    def _write_line(self, line: bytes) -> None:
        if self.dropped:
            line = b'{"event": "log lines dropped", "n": %d}\n%b' % (self.dropped, line)
        if self._partial_line:
            line = b"\n" + line
        remaining = memoryview(line)
        try:
            while remaining:
                remaining = remaining[os.write(self._descriptor, remaining) :]
        except OSError:
            self.dropped += 1
            self._partial_line = self._partial_line or len(remaining) < len(line)
        else:
            self.dropped, self._partial_line = 0, False


def configure_for_command() -> None:
    """Send the log of a command to the file in ``LOG_FILE_VARIABLE``, or drop it.

    Standard output is for the command's result.
    """
    if path := os.environ.get(LOG_FILE_VARIABLE):
        configure(
            "info",
            LogFile(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o644)),
        )
    else:
        structlog.configure(logger_factory=structlog.ReturnLoggerFactory())


def standard_output() -> "LogFile | TextIO":
    """Return standard output as a log file, or ``sys.stdout`` itself if it has no descriptor."""
    try:
        return LogFile(sys.stdout.fileno())
    except (AttributeError, OSError, ValueError):
        return sys.stdout


def configure(level: str, stream: "LogFile | TextIO | Any" = None) -> None:
    """Log one JSON object a line to ``stream``; the default is standard output.

    The platform keeps standard output as the log.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.dict_tracebacks,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(cast("TextIO", stream or standard_output())),
        cache_logger_on_first_use=True,
    )
