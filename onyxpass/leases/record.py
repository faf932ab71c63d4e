"""The stored record of one lease, and its JSON form.

The store owns the record: it is read and written only through ``store.leases``, and it never
expires, so that its token outlives every holder. All times are milliseconds of the store's clock.

This module holds the mapping between the stored keys and the names used in the code:

=============  ============================
key            field
=============  ============================
``until_ms``   ``expires_at_ms``
``run``        ``store_run_id``
``open_ms``    ``grants_open_at_ms``
``line``       ``waiters``
=============  ============================
"""

import json
from dataclasses import dataclass
from typing import Any

RECORD_VERSION = 1
MAX_WAITERS = 8  # bounds the record; any further requester waits without a place in the queue
MAX_NAME_LENGTH = 128
MAX_REASON_LENGTH = 256
MAX_RECORD_BYTES = 32 * 1024
MAX_NUMBER = 2**53  # the largest integer that every reader of JSON represents exactly


class CorruptRecordError(ValueError):
    """The stored text is not a record that this version may overwrite.

    ``reason`` says what is wrong with it.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Waiter:
    """A place in the waiter queue, valid until ``expires_at_ms`` unless it is renewed."""

    holder: str
    expires_at_ms: int


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """One lease as it is stored.

    ``token`` is the fencing token of the current or the last holder. ``store_run_id`` identifies
    the incarnation of the store that wrote the record, and ``grants_open_at_ms`` is the time
    before which that incarnation grants nothing.
    """

    token: int = 0
    holder: str = ""
    expires_at_ms: int = 0
    reason: str = ""
    store_run_id: str = ""
    grants_open_at_ms: int = 0
    waiters: tuple[Waiter, ...] = ()

    def is_held(self, now_ms: int) -> bool:
        """Return whether the lease has a holder and has not expired."""
        return bool(self.holder) and now_ms < self.expires_at_ms

    def to_json(self) -> str:
        """Return the stored form, which ``parse_record`` reads."""
        return json.dumps(
            {
                "version": RECORD_VERSION,
                "token": self.token,
                "holder": self.holder,
                "until_ms": self.expires_at_ms,
                "reason": self.reason,
                "run": self.store_run_id,
                "open_ms": self.grants_open_at_ms,
                "line": [[waiter.holder, waiter.expires_at_ms] for waiter in self.waiters],
            }
        )


def parse_record(text: bytes | str | None) -> LeaseRecord | None:
    """Read a stored record; None if there is none.

    Raises ``CorruptRecordError`` if the text is too large, of another version or malformed.
    """
    if text is None:
        return None
    if len(text) > MAX_RECORD_BYTES:
        raise CorruptRecordError(f"the record is too large: {len(text)} bytes")
    try:
        return _record_from(json.loads(text))
    except CorruptRecordError:
        raise
    except (ValueError, KeyError, TypeError, IndexError, RecursionError) as error:
        reason = f"malformed record: {type(error).__name__}: {str(error)[:80]}"
        raise CorruptRecordError(reason) from error


def _record_from(fields: Any) -> LeaseRecord:
    if not isinstance(fields, dict):
        raise CorruptRecordError("the record is not a JSON object")
    if fields.get("version") != RECORD_VERSION:
        raise CorruptRecordError(
            f"version {fields.get('version')!r} is not supported; only {RECORD_VERSION} is"
        )
    waiters = tuple(
        Waiter(_text(entry[0], MAX_NAME_LENGTH), _number(entry[1])) for entry in fields["line"]
    )
    if len(waiters) > MAX_WAITERS:
        raise CorruptRecordError(f"too many waiters: {len(waiters)}")
    return LeaseRecord(
        token=_number(fields["token"]),
        expires_at_ms=_number(fields["until_ms"]),
        grants_open_at_ms=_number(fields["open_ms"]),
        holder=_text(fields["holder"], MAX_NAME_LENGTH),
        reason=_text(fields["reason"], MAX_REASON_LENGTH),
        store_run_id=_text(fields["run"], MAX_NAME_LENGTH),
        waiters=waiters,
    )


def _number(value: Any) -> int:
    if type(value) is not int or not 0 <= value <= MAX_NUMBER:
        raise CorruptRecordError(f"not a number: {str(value)[:40]}")
    return value


def _text(value: Any, max_length: int) -> str:
    if not isinstance(value, str) or len(value) > max_length:
        raise CorruptRecordError(f"not a text: {str(value)[:40]}")
    return value
