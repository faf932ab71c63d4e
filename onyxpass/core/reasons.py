"""Reasons for unsent attempts, rejections and closed connections; the log contains the values."""

from enum import StrEnum


class Reason(StrEnum):
    """Why an attempt was not sent or a request was rejected; ``NONE`` is falsy."""

    NONE = ""
    # Of an attempt that was not sent:
    CANCELLED = "the attempt was cancelled"
    REQUEST_FINISHED = "the request has ended"
    DEADLINE_EXCEEDED = "the deadline has passed"
    TOO_MANY_ATTEMPTS = "too many attempts"
    NOT_LISTED = "the server is not listed as up"
    NOT_IDEMPOTENT = "the request may no longer be retried"
    ANOTHER_IN_FLIGHT = "another attempt is in flight"
    INVARIANT_VIOLATED = "it would violate an invariant"
    NO_FLEET = "no fleet is connected"
    # Of a request that was rejected:
    SHUTTING_DOWN = "the dispatcher ends"
    NO_CAPACITY = "no capacity, or too many similar requests fail"
    ATTEMPTS_FAILED = "its attempts failed"


class DisconnectReason(StrEnum):
    """Why the client of an open request counts as gone."""

    CLOSED = "its connection has ended"
    EXTRA_BYTES = "bytes behind its open request"


class CloseReason(StrEnum):
    """Why a client's connection has ended; counted, and logged every few seconds."""

    AFTER_ANSWER = "after its answer"
    CLIENT_LEFT = "the client left"
    STREAM_CUT = "its stream was cut"
    BAD_REQUEST = "a bad request"
    TOO_SLOW = "silent or too slow"
    DISPLACED = "for another one"
    CONNECTION_BROKE = "it broke"
    SHUTTING_DOWN = "the dispatcher ends"
    INTERNAL_ERROR = "a fault of ours"
