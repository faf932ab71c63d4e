"""The JSON forms of the agent, its instances and its rollout lock at the agent's address."""

from collections.abc import Mapping
from typing import Any

from onyxpass import __version__
from onyxpass.agent.expected_config import expected_digest
from onyxpass.agent.instance import Instance
from onyxpass.agent.rollout_locks import GrantedRolloutLock
from onyxpass.config.platform_file import ConfigError
from onyxpass.net.http_client import RequestNotSentError, ResponseLostError

LIVE_STATUS_TIMEOUT_S = 1.0  # for an instance to say how it stands, where all are asked


def agent_view(
    name: str,
    instances: list[str],
    lock: GrantedRolloutLock | None,
    fences: Mapping[str, object],
    now_s: float,
) -> dict[str, Any]:
    """Return the agent with its rollout lock and fences."""
    return {
        "agent": name,
        "version": __version__,
        "instances": instances,
        "hold": lock_view(lock, now_s) if lock else None,
        "fences": dict(fences),
    }


def lock_view(lock: GrantedRolloutLock, now_s: float) -> dict[str, Any]:
    """Return a rollout lock with the time that it has left."""
    return {
        "rollout": lock.rollout,
        "holder": lock.holder,
        "left_ms": max(0, round((lock.expires_s - now_s) * 1000)),
    }


async def instance_view(instance: Instance) -> dict[str, Any]:
    """Return an instance with its file's digest and its own status.

    An instance that does not answer delays this by ``LIVE_STATUS_TIMEOUT_S`` at most.
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
        answer = await instance.request("GET", "/status", timeout_s=LIVE_STATUS_TIMEOUT_S)
    except (RequestNotSentError, ResponseLostError) as error:
        return {"live_problem": str(error)}
    if answer.status == 200:
        return {"live": dict(answer.body)}
    return {"live_problem": answer.reason}
