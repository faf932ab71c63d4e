"""Lets the fronts of a store expect no claims of a front that has gone for good."""

import asyncio
import sys
import time

from onyxpass.store.claim_generation import HEARTBEAT_INTERVAL_US
from onyxpass.store.front_registry import FrontRegistry
from onyxpass.store.redis import RedisStore, StoreUnavailableError
from onyxpass.toolcalls.service import ToolcallsConfig

MAX_WRITES = 5
# a front that has read the registry before may overwrite it until its next look
CHECK_INTERVAL_S = 1.5 * HEARTBEAT_INTERVAL_US / 1_000_000


class FrontNotForgottenError(Exception):
    """What was written to the registry of fronts is overwritten each time."""


async def forget_front(
    store: RedisStore, front: str, check_interval_s: float = CHECK_INTERVAL_S
) -> bool:
    """Have a front forgotten; return whether the store's registry knows it.

    A front that runs registers again by itself. Raises ``StoreUnavailableError``, and
    ``FrontNotForgottenError`` if the registry does not keep the change.
    """
    written = FrontRegistry()
    for _ in range(MAX_WRITES):
        registry = FrontRegistry.from_text(await store.read_fronts())
        if written.entries and registry.includes(written):
            return True
        registry.merge(written)
        if not registry.forget(front):
            return False
        written = registry.entries_of(front)
        await store.write_fronts(registry.to_text(), registry.remaining_s(time.time()))
        await asyncio.sleep(check_interval_s)
    raise FrontNotForgottenError(f"the registry of fronts keeps {front}")


def run_forget_front(config: ToolcallsConfig, front: str) -> int:
    """Have a front of the configuration's store forgotten; return the exit code.

    It is 2 for a name that the store doesn't know, and 1 if the store did not take the change.
    """

    async def forget() -> bool:
        store = RedisStore(config.store_url, config.store_timeout_ms)
        try:
            return await forget_front(store, front)
        finally:
            await store.close()

    try:
        is_known = asyncio.run(forget())
    except (StoreUnavailableError, FrontNotForgottenError) as error:
        print(f"{front}: not forgotten: {error}", file=sys.stderr)
        return 1
    if not is_known:
        print(f"{front}: the store knows no front of this name", file=sys.stderr)
        return 2
    print(f"{front}: its claims are not expected any more")
    return 0
