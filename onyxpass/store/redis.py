"""Access to Redis: claims on tool calls, and the state of the agents' instances.

Any failure of the store to answer raises ``StoreUnavailableError``; no command is sent twice. The
JSON forms are documented where they are written. The store owns this state; a ``RedisStore`` owns
only its connections.
"""

import json
from collections.abc import Awaitable, Mapping, Sequence
from typing import Any, TypeVar

from redis.asyncio import Redis
from redis.asyncio.client import Pipeline
from redis.asyncio.retry import Retry
from redis.backoff import NoBackoff
from redis.exceptions import RedisError

from onyxpass.store.claim_generation import StoreReading
from onyxpass.store.desired_running import DesiredRunning

CALL_KEY_PREFIX = "onyxpass:call:"
CLAIM_GENERATION_KEY = "onyxpass:claims:generation"
CLAIM_HEARTBEAT_KEY_PREFIX = "onyxpass:claims:heartbeat:"
CLAIM_RECLAIM_KEY = "onyxpass:claims:reclaiming"
CLAIM_FRONTS_KEY = "onyxpass:claims:fronts"
CLAIM_HEARTBEAT_TTL_S = 3_600  # so that the keys of fronts that have ended go
INSTANCE_KEY_PREFIX = "onyxpass:instance:"
DESIRED_KEY_PREFIX = "onyxpass:wanted:"
DEFAULT_TIMEOUT_MS = 300

Result = TypeVar("Result")


class StoreUnavailableError(Exception):
    """The store did not answer, or its answer can't be understood."""


def create_client(url: str, timeout_ms: int) -> Redis:
    """Return a client that sends each command once, with this timeout for it and for connecting."""
    # Prevents a claim from being sent twice by the library: the retry would find the key that the
    # first attempt has set.
    return Redis.from_url(
        url,
        socket_timeout=timeout_ms / 1000,
        socket_connect_timeout=timeout_ms / 1000,
        retry=Retry(NoBackoff(), 0),
        protocol=2,
        driver_info=None,
    )


class RedisStore:
    """The state that several processes share. Commands raise ``StoreUnavailableError``."""

    def __init__(self, url: str, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> None:
        self.timeout_ms = timeout_ms
        self._redis = create_client(url, timeout_ms)

    async def close(self) -> None:
        """Close all connections."""
        await self._redis.aclose()

    # Tool calls

    async def claim_call(
        self, key: str, record: Mapping[str, Any], ttl_s: int, front: str
    ) -> tuple[bool, StoreReading]:
        """Claim a tool call for ``ttl_s``; True if the store has no claim on it.

        The reading is of a later moment than the claim, and tells whether the claim proves
        anything: a store that has lost its keys takes each claim for a first one.
        """
        pipeline = self._redis.pipeline(transaction=False)
        pipeline.set(CALL_KEY_PREFIX + key, json.dumps(record), nx=True, ex=ttl_s)
        claimed, generation, heartbeat = await self._read_claims(pipeline, front)
        return bool(claimed), StoreReading(generation, heartbeat)

    async def read_claims(self, front: str) -> StoreReading:
        """Return the shared state of all claims, and this front's heartbeat.

        The reclaim mark is read before the registry, as a front that reclaims writes them.
        """
        pipeline = self._redis.pipeline(transaction=False)
        pipeline.get(CLAIM_RECLAIM_KEY)
        pipeline.get(CLAIM_FRONTS_KEY)
        mark, fronts, generation, heartbeat = await self._read_claims(pipeline, front)
        return StoreReading(
            generation, heartbeat, is_reclaiming=mark is not None, fronts=_text(fronts)
        )

    async def _read_claims(self, pipeline: Pipeline, front: str) -> list[Any]:
        """Execute the commands of a pipeline, and read generation and heartbeat as the last two."""
        pipeline.get(CLAIM_GENERATION_KEY)
        pipeline.get(CLAIM_HEARTBEAT_KEY_PREFIX + front)
        *results, generation, heartbeat = await _result_of(pipeline.execute())
        heartbeat_text = _text(heartbeat) or ""
        is_number = heartbeat_text.isascii() and heartbeat_text.isdecimal()
        return [*results, _text(generation), int(heartbeat_text) if is_number else None]

    async def begin_claims(self, generation: str, *, replace: bool) -> None:
        """Begin a generation of claims; unless ``replace`` is set, one that exists is kept."""
        await _result_of(self._redis.set(CLAIM_GENERATION_KEY, generation, nx=not replace))

    async def write_heartbeat(self, front: str, heartbeat: int) -> None:
        """Store the heartbeat of this front."""
        key = CLAIM_HEARTBEAT_KEY_PREFIX + front
        await _result_of(self._redis.set(key, str(heartbeat), ex=CLAIM_HEARTBEAT_TTL_S))

    async def read_fronts(self) -> str | None:
        """Return the text of the registry of fronts; None if there is none."""
        return _text(await _result_of(self._redis.get(CLAIM_FRONTS_KEY)))

    async def write_fronts(self, text: str, ttl_s: int) -> None:
        """Store the registry of fronts for ``ttl_s``, whatever is stored of it."""
        await _result_of(self._redis.set(CLAIM_FRONTS_KEY, text, ex=ttl_s))

    async def restore_calls(
        self, calls: Sequence[tuple[str, str, int]], front: str, mark_ttl_ms: int
    ) -> None:
        """Store the records of claimed calls again, each with its key, JSON text and TTL in s.

        The mark that this front is reclaiming is set first, and expires after ``mark_ttl_ms``.
        """
        pipeline = self._redis.pipeline(transaction=False)
        pipeline.set(CLAIM_RECLAIM_KEY, front, px=mark_ttl_ms)
        for key, record, ttl_s in calls:
            pipeline.set(CALL_KEY_PREFIX + key, record, ex=ttl_s)
        await _result_of(pipeline.execute())

    async def record_call(self, key: str, record: Mapping[str, Any], ttl_s: int) -> None:
        """Store the state of a claimed call for another ``ttl_s``; the call stays claimed."""
        await _result_of(self._redis.set(CALL_KEY_PREFIX + key, json.dumps(record), ex=ttl_s))

    async def recorded_call(self, key: str) -> dict[str, Any] | None:
        """Return the stored state of a call; None if it is not claimed."""
        return await self._get(CALL_KEY_PREFIX + key)

    # The agents' instances

    async def publish_instance(self, name: str, state: Mapping[str, Any], ttl_s: int) -> None:
        """Store an instance's state, for ``ttl_s``."""
        await _result_of(self._redis.set(INSTANCE_KEY_PREFIX + name, json.dumps(state), ex=ttl_s))

    async def remove_instance(self, name: str) -> None:
        """Delete an instance's state."""
        await _result_of(self._redis.delete(INSTANCE_KEY_PREFIX + name))

    async def instances(self) -> dict[str, dict[str, Any]]:
        """Return the unexpired states of all agents' instances, by name."""
        keys = await _result_of(self._redis.keys(INSTANCE_KEY_PREFIX + "*"))
        states = {}
        for key in sorted(key.decode() if isinstance(key, bytes) else str(key) for key in keys):
            if (state := await self._get(key)) is not None:
                states[key.removeprefix(INSTANCE_KEY_PREFIX)] = state
        return states

    async def set_desired_running(self, name: str, running: bool) -> None:
        """Store whether an operator wants the instance to run; the instance's agent reads this."""
        order = json.dumps(DesiredRunning.new(running).to_dict())
        await _result_of(self._redis.set(DESIRED_KEY_PREFIX + name, order))

    async def desired_running(self, name: str) -> DesiredRunning | None:
        """Return the latest order to run or stop the instance; None if there is none."""
        entry = await self._get(DESIRED_KEY_PREFIX + name)
        return None if entry is None else DesiredRunning.from_dict(entry)

    async def _get(self, key: str) -> dict[str, Any] | None:
        text = await _result_of(self._redis.get(key))
        if text is None:
            return None
        try:
            value = json.loads(text)
        except (ValueError, RecursionError) as error:
            raise StoreUnavailableError(f"{key} holds no JSON") from error
        return value if isinstance(value, dict) else None


def _text(value: object) -> str | None:
    """Return a reply as text; None if the key is absent."""
    if isinstance(value, bytes):
        return value.decode("utf-8", "replace")
    return None if value is None else str(value)


async def _result_of(command: Awaitable[Result]) -> Result:
    try:
        return await command
    except (RedisError, OSError, TimeoutError, ValueError) as error:
        raise StoreUnavailableError(f"{type(error).__name__}: {error}") from error
