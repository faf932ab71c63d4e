"""The agent as a program: its instances, its API and its signal handlers."""

import asyncio
import signal

import structlog

from onyxpass import reload_signal
from onyxpass.agent.api import AgentApi
from onyxpass.agent.config import AgentConfig
from onyxpass.agent.credentials import read_key
from onyxpass.agent.supervisor import Agent
from onyxpass.stop_limit import stop_within

STOP_MARGIN_S = 10.0  # beyond the instances' grace period
log = structlog.get_logger("agent")


def build(config: AgentConfig) -> tuple[Agent, AgentApi | None]:
    """Return the agent and, if an address is configured, its API server.

    Raises ``StateStoreError`` or ``ConfigError``, with nothing started, if the state, the key or
    the address can't be used.
    """
    key = read_key(config.key) if config.key is not None else ""
    store = None
    if config.store_url:
        from onyxpass.store.redis import RedisStore

        store = RedisStore(config.store_url)
    agent = Agent(config, store)
    if config.listen is None:
        return agent, None
    try:
        return agent, AgentApi(agent, config.listen, key)
    except BaseException:
        agent.close()
        raise


async def run(config: AgentConfig) -> None:
    """Run until SIGTERM or SIGINT, then stop all instances.

    Raises what ``build`` raises.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    # The default action of SIGHUP would end the agent and leave its instances unsupervised.
    reload_signal.handle(loop, _ignore_reload)
    agent, api = build(config)
    await agent.start()
    serving = asyncio.create_task(_serve(api)) if api is not None else None
    await stopping.wait()
    await stop_agent(agent, serving)


async def stop_agent(agent: Agent, serving: "asyncio.Task[None] | None") -> None:
    """Stop all instances within their grace period; the next agent adopts what is left."""
    limit_s = agent.config.termination_grace_s + STOP_MARGIN_S
    if not await stop_within(limit_s, _stop(agent, serving), agent.running_processes):
        agent.close()


async def _serve(api: AgentApi) -> None:
    """Serve calls until cancelled, and then end the operations that they began."""
    try:
        await api.run()
    finally:
        await api.interrupt_operations()


async def _stop(agent: Agent, serving: "asyncio.Task[None] | None") -> None:
    if serving is not None:  # accept no calls while the instances stop
        serving.cancel()
        await asyncio.wait([serving])
    await agent.stop()


def _ignore_reload() -> None:
    log.warning("reload_not_supported", reason="the agent reads its file only when it starts")
