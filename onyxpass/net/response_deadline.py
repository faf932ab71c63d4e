"""Decides until when the next bytes of a server's response have to come, without I/O.

A server that writes slowly is not given up while its answer comes. What counts as coming is content:
bytes of a head, or of an event. Bytes of the framing around it, comments and blank lines don't, since
a server can send them without end.

Times are microseconds of the dispatcher's clock.
"""

from dataclasses import dataclass

# Longest pause within a head or event, and time for what frames it; while a stream is forwarded,
# only once the time of the event is used up.
PART_SILENCE_US = 1_000_000
MAX_EVENT_TIME_US = 30_000_000  # from the first byte of an event to its last


@dataclass(slots=True)
class Wait:
    """What a response is waiting for.

    ``silence_us``: limit of a wait in which nothing has begun, and of the time between two events of
    a stream that is forwarded. ``begun``: a head, chunk or event is partly received. ``within_event``:
    an event is partly received. ``forwarding``: the client has a part of the stream.
    ``within_body_after_end``: the last event has come, and the chunk or body around it goes on.
    """

    silence_us: int = 0
    begun: bool = False
    within_event: bool = False
    forwarding: bool = False
    within_body_after_end: bool = False


class ResponseDeadline:
    """Keeps when a response has last made progress."""

    def __init__(self) -> None:
        self._completed_us = 0  # when the last head, or the last event with data, was complete
        self._content_us = 0  # when content came last
        self._began_us = 0  # when the incomplete part began that is waited for; 0: none has

    def part_completed(self, now_us: int) -> None:
        """Record that a head, or an event with data, is complete."""
        self._completed_us, self._began_us = now_us, 0

    def content_received(self, now_us: int) -> None:
        """Record that bytes of a head, or content of the body, have come."""
        self._content_us = now_us

    def due_us(self, wait: Wait, now_us: int) -> int:
        """Return until when the next bytes have to come."""
        if not wait.forwarding:
            return self._due_before_forwarding_us(wait, now_us)
        if wait.within_body_after_end:
            return self._completed_us + min(PART_SILENCE_US, wait.silence_us)
        due_us = self._completed_us + wait.silence_us
        if wait.within_event:
            due_us = max(due_us, self._event_due_us(now_us))
        return due_us

    def _due_before_forwarding_us(self, wait: Wait, now_us: int) -> int:
        if not wait.begun:
            return now_us + wait.silence_us
        began_us = self._begin(now_us)
        due_us = max(self._content_us, began_us) + PART_SILENCE_US
        return min(due_us, began_us + MAX_EVENT_TIME_US)

    def _event_due_us(self, now_us: int) -> int:
        began_us = self._begin(now_us)
        return min(self._content_us + PART_SILENCE_US, began_us + MAX_EVENT_TIME_US)

    def _begin(self, now_us: int) -> int:
        self._began_us = self._began_us or now_us
        return self._began_us
