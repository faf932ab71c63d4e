"""The JSON forms of the agent, its instances and its rollout lock in the agent's API."""

from collections.abc import Mapping
from typing import Any

from onyxpass import __version__
from onyxpass.agent.agent_clock import ClockReading
from onyxpass.agent.expected_config import expected_digest
from onyxpass.agent.instance import Instance
from onyxpass.agent.rollout_locks import GrantedRolloutLock
from onyxpass.config.platform_file import ConfigError
from onyxpass.net.http_client import RequestNotSentError, ResponseLostError

LIVE_STATUS_TIMEOUT_S = 1.0  # for one instance to report its status


def agent_view(
    name: str,
    instances: list[str],
    lock: GrantedRolloutLock | None,
    fences: Mapping[str, object],
    now_s: float,
    clock: ClockReading,
) -> dict[str, Any]:
    """Return the JSON form of the agent, with its rollout lock, its fences and its clock's time."""
    return {
        "agent": name,
        "version": __version__,
        "instances": instances,
        "hold": lock_view(lock, now_s) if lock else None,
        "fences": dict(fences),
        "clock": {"id": clock.clock_id, "ms": clock.at_ms},
    }


def lock_view(lock: GrantedRolloutLock, now_s: float) -> dict[str, Any]:
    """Return the JSON form of a rollout lock, with its remaining time."""
    return {
        "rollout": lock.rollout,
        "holder": lock.holder,
        "left_ms": max(0, round((lock.expires_s - now_s) * 1000)),
    }


async def instance_view(instance: Instance) -> dict[str, Any]:
    """Return the JSON form of an instance, with its file's digest and its live status.

    An instance that does not answer delays the result by ``LIVE_STATUS_TIMEOUT_S`` at most.
    """
    view: dict[str, Any] = {
        "name": instance.name,
        **instance.to_dict(),
        "file": None,
        "live": None,
    }
    try:
        view["file"] = expected_digest(instance.spec, reload=instance.process is not None)
    except ConfigError as error:
        view["file_problem"] = str(error)
    if instance.process is not None:
        view.update(await _live_status(instance))
    return view


async def _live_status(instance: Instance) -> dict[str, Any]:
    try:
        response = await instance.request("GET", "/status", timeout_s=LIVE_STATUS_TIMEOUT_S)
    except (RequestNotSentError, ResponseLostError) as error:
        return {"live_problem": str(error)}
    if response.status == 200:
        return {"live": dict(response.body)}
    return {"live_problem": response.reason}
