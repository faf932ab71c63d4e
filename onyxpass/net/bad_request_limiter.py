"""Delays error responses to bad requests and limits the rate of the log lines about them."""

import structlog

from onyxpass.core.clock import Clock

# A burst of 20 responses goes out at once; later ones are spaced, each delayed by 1 s at most.
RESPONSE_INTERVAL_US, RESPONSE_BURST_US, MAX_RESPONSE_DELAY_US = 20_000, 400_000, 1_000_000
LOG_INTERVAL_US = 1_000_000  # minimum time between two log lines about bad requests
log = structlog.get_logger("front")


class BadRequestLimiter:
    """Slows down clients with bad requests and bounds the log lines that they can cause."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._next_response_us = self._next_log_us = self._unlogged = 0

    def delay_us(self) -> int:
        """Return how long to delay the next error response.

        The delay slows down clients that repeat a bad request at once.
        """
        now_us = self.clock.now_us()
        self._next_response_us = (
            max(self._next_response_us, now_us - RESPONSE_BURST_US) + RESPONSE_INTERVAL_US
        )
        self._next_response_us = min(self._next_response_us, now_us + MAX_RESPONSE_DELAY_US)
        return max(0, self._next_response_us - now_us)

    def log_rejection(self, status: int, why: str) -> None:
        """Log a rejected request, at most once per interval.

        The field ``n`` counts the requests rejected since the last line.
        """
        now_us, self._unlogged = self.clock.now_us(), self._unlogged + 1
        if now_us >= self._next_log_us:
            log.info("bad_request", status=status, why=why, n=self._unlogged)
            self._next_log_us, self._unlogged = now_us + LOG_INTERVAL_US, 0
