"""The calls at the agent's address as typed requests; ``ApiError`` 400 names the faulty field."""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from onyxpass.agent.operation_options import OperationOptions
from onyxpass.agent.rollout_locks import MAX_TTL_S
from onyxpass.net.http_server import ApiError, boolean_field, integer_field, reject_unknown_fields

MAX_TEXT_CHARACTERS = 512  # characters
MAX_DURATION_MS = 24 * 3600 * 1000
MAX_TOKEN = 2**53  # what every JSON reader takes exactly
MAX_NUMBER_DIGITS = 16
DEFAULT_DEADLINE_MS = 60_000
DEFAULT_NOTICE_MS = 1_000
DEFAULT_LOCK_TTL_MS = 30_000
ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,192}\Z")

Body = dict[str, Any]


@dataclass(frozen=True, slots=True)
class LeaseClaim:
    """The lease under which a call is made."""

    name: str
    token: int
    holder: str


@dataclass(frozen=True, slots=True)
class OperationRequest:
    """An order on one instance, under the caller's id."""

    operation_id: str
    options: OperationOptions
    lease: LeaseClaim | None


@dataclass(frozen=True, slots=True)
class RolloutLockRequest:
    """A rollout's wish to be the only one that orders this agent, for ``ttl_s`` seconds."""

    rollout: str
    holder: str
    ttl_s: float
    lease: LeaseClaim | None


def parse_operation(body: Body) -> OperationRequest:
    """Read the body of an order on an instance; its rollout is read by ``parse_rollout``."""
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
    """Read the rollout that an order belongs to; empty where it belongs to none."""
    return _text(body, "rollout", "")


def parse_lock(body: Body) -> RolloutLockRequest:
    """Read the body of a call that takes the rollout lock."""
    reject_unknown_fields(body, "rollout", "holder", "ttl_ms", "lease")
    rollout = _id(body, "rollout")
    holder = _text(body, "holder")
    max_ttl_ms = round(MAX_TTL_S * 1000)
    ttl_ms = integer_field(body, "ttl_ms", DEFAULT_LOCK_TTL_MS, max_ttl_ms, minimum=1)
    return RolloutLockRequest(rollout, holder, ttl_ms / 1000, _lease(body))


def parse_release(body: Body) -> str:
    """Read the rollout whose lock is to be freed."""
    reject_unknown_fields(body, "rollout")
    return _id(body, "rollout")


def query_number(query: Mapping[str, str], name: str, maximum: int) -> int:
    """Read a whole number of a call's query; 0 where it is absent."""
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
    found = body.get("lease")
    if found is None:
        return None
    if not isinstance(found, dict):
        raise ApiError(400, "lease must be an object")
    reject_unknown_fields(found, "name", "token", "holder")
    name = _id(found, "name")
    token = integer_field(found, "token", 0, MAX_TOKEN, minimum=1)
    return LeaseClaim(name, token, _id(found, "holder"))
