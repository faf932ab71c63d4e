"""Parsing of calls to the agent's API; ``ApiError`` with status 400 names the faulty field."""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from onyxpass.agent.agent_clock import ClockReading
from onyxpass.agent.operation_options import OperationOptions
from onyxpass.agent.rollout_locks import MAX_TTL_S
from onyxpass.net.http_server import ApiError, boolean_field, integer_field, reject_unknown_fields

MAX_TEXT_CHARACTERS = 512
MAX_DURATION_MS = 24 * 3600 * 1000
MAX_TOKEN = 2**53  # the largest integer that every reader of JSON represents exactly
MAX_NUMBER_DIGITS = 16
MAX_CLOCK_MS = 2**53
DEFAULT_DEADLINE_MS = 60_000
DEFAULT_NOTICE_MS = 1_000
DEFAULT_LOCK_TTL_MS = 30_000
ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,192}\Z")

Body = dict[str, Any]


@dataclass(frozen=True, slots=True)
class LeaseClaim:
    """The lease under which a call is made, and when it ends at the latest, if that is stated."""

    name: str
    token: int
    holder: str
    until: ClockReading | None = None


@dataclass(frozen=True, slots=True)
class OperationRequest:
    """A request for an operation on one instance, under the caller's id."""

    operation_id: str
    options: OperationOptions
    lease: LeaseClaim | None


@dataclass(frozen=True, slots=True)
class RolloutLockRequest:
    """A rollout's request for exclusive control of this agent, for ``ttl_s`` seconds."""

    rollout: str
    holder: str
    ttl_s: float
    lease: LeaseClaim | None


def parse_operation(body: Body) -> OperationRequest:
    """Parse the body of an operation request, except the rollout (``parse_rollout``)."""
    reject_unknown_fields(
        body,
        "operation",
        "rollout",
        "deadline_ms",
        "notice_ms",
        "force",
        "drain",
        "restart",
        "expect",
        "lease",
    )
    return OperationRequest(_id(body, "operation"), _options(body), _lease(body))


def parse_rollout(body: Body) -> str:
    """Parse the rollout that an operation belongs to; empty if it belongs to none."""
    return _text(body, "rollout", "")


def parse_lock(body: Body) -> RolloutLockRequest:
    """Parse the body of a request for the rollout lock."""
    reject_unknown_fields(body, "rollout", "holder", "ttl_ms", "lease")
    rollout = _id(body, "rollout")
    holder = _text(body, "holder")
    max_ttl_ms = round(MAX_TTL_S * 1000)
    ttl_ms = integer_field(body, "ttl_ms", DEFAULT_LOCK_TTL_MS, max_ttl_ms, minimum=1)
    return RolloutLockRequest(rollout, holder, ttl_ms / 1000, _lease(body))


def parse_fence(body: Body) -> LeaseClaim:
    """Parse the body of an announcement of a lease's holder."""
    reject_unknown_fields(body, "lease")
    if (lease := _lease(body)) is None:
        raise ApiError(400, "lease must be an object")
    return lease


def parse_release(body: Body) -> str:
    """Parse the rollout whose lock is to be released."""
    reject_unknown_fields(body, "rollout")
    return _id(body, "rollout")


def query_number(query: Mapping[str, str], name: str, maximum: int) -> int:
    """Parse a whole number in a query, up to ``maximum``; 0 if it is absent."""
    text = query.get(name, "0")
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS
    if not is_number or int(text) > maximum:
        raise ApiError(400, f"{name} must be a whole number up to {maximum}")
    return int(text)


def _text(body: Body, name: str, default: str | None = None) -> str:
    value = body.get(name, default)
    if (
        not isinstance(value, str)
        or len(value) > MAX_TEXT_CHARACTERS
        or (value and not value.isprintable())
    ):
        raise ApiError(400, f"{name} must be a text of at most {MAX_TEXT_CHARACTERS} characters")
    return value


def _id(body: Body, name: str) -> str:
    value = _text(body, name)
    if not ID_PATTERN.match(value):
        raise ApiError(400, f"{name} must be 1 to 192 letters, digits or ._:-")
    return value


def _options(body: Body) -> OperationOptions:
    deadline_ms = integer_field(
        body, "deadline_ms", DEFAULT_DEADLINE_MS, MAX_DURATION_MS, minimum=1
    )
    return OperationOptions(
        deadline_s=deadline_ms / 1000,
        notice_s=integer_field(body, "notice_ms", DEFAULT_NOTICE_MS, MAX_DURATION_MS) / 1000,
        force=boolean_field(body, "force"),
        drain=boolean_field(body, "drain", True),
        allow_restart=boolean_field(body, "restart"),
        expected_digest=_text(body, "expect", ""),
    )


def _lease(body: Body) -> LeaseClaim | None:
    lease = body.get("lease")
    if lease is None:
        return None
    if not isinstance(lease, dict):
        raise ApiError(400, "lease must be an object")
    reject_unknown_fields(lease, "name", "token", "holder", "until")
    name = _id(lease, "name")
    token = integer_field(lease, "token", 0, MAX_TOKEN, minimum=1)
    return LeaseClaim(name, token, _id(lease, "holder"), _clock_reading(lease.get("until")))


def _clock_reading(value: object) -> ClockReading | None:
    if value is None:
        return None
    if not isinstance(value, dict):
        raise ApiError(400, "until must be an object")
    reject_unknown_fields(value, "clock", "ms")
    return ClockReading(_id(value, "clock"), integer_field(value, "ms", 0, MAX_CLOCK_MS))
