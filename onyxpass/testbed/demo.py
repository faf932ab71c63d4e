"""The demonstration: real requests of all classes to two dispatchers under an agent, all counted."""

import asyncio
import random
import tempfile
import time
from collections import Counter
from pathlib import Path

import typer

from onyxpass.fleet import config as fleet_config
from onyxpass.fleet import render
from onyxpass.fleet.controller import FleetController, Report
from onyxpass.fleet.outcome import ExitCode
from onyxpass.history_checkers.trace import breaches
from onyxpass.testbed.client import CLASSES, send_request
from onyxpass.testbed.replicas import Speed, StandinFleet
from onyxpass.testbed.site import Host, Site

READY_TIMEOUT_S = 15.0
MAX_CONCURRENT_REQUESTS = 24


async def wait_until_serving(
    controller: FleetController, limit_s: float = READY_TIMEOUT_S
) -> Report:
    """Survey until every instance serves, and return that report, or the last one at the time-out."""
    due_s = time.monotonic() + limit_s
    while True:
        report = await controller.survey(controller.fleet.members, 1.0)
        if all(view.serving for view in report.views.values()) or time.monotonic() > due_s:
            return report
        await asyncio.sleep(0.1)


async def send_load(site: Site, requests: int, seed: int = 1) -> Counter[tuple[str, str]]:
    """Send requests of all classes to all instances, and count them by class and outcome."""
    generator, slots = random.Random(seed), asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
    ports = list(site.ports.values())

    async def send_one(number: int, traffic_class: str, port: int, max_out: int) -> tuple[str, str]:
        async with slots:
            session = f"session-{number % 40}"
            result = await send_request(
                site.fleet.trace,
                ("127.0.0.1", port),
                f"r{number:05}",
                traffic_class,
                session,
                max_out,
            )
            return traffic_class, result.outcome

    work = [
        send_one(
            number,
            CLASSES[number % len(CLASSES)],
            ports[number % len(ports)],
            generator.randrange(20, 80),
        )
        for number in range(requests)
    ]
    return Counter(await asyncio.gather(*work))


async def demonstrate(requests: int) -> int:
    """Run the demonstration and return its exit code.

    The code is 0 only if every request was served and the trace breaks no rule.
    """
    with tempfile.TemporaryDirectory(prefix="onyxpass-demo-") as folder:
        fleet = await StandinFleet(readers=2, writers=3, speed=Speed(token_s=0.0005)).start()
        site = Site(
            Path(folder), fleet, (Host("host-1", "boa-vista", ("dispatcher-1", "dispatcher-2")),)
        )
        site.write_files()
        try:
            await site.start(site.hosts[0])
            controller = FleetController(fleet_config.load(Path(folder) / "fleet.toml"))
            first = await wait_until_serving(controller)
            if first.tally.exit_code() is not ExitCode.DONE or not all(
                v.serving for v in first.views.values()
            ):
                render.survey(first)
                typer.echo((Path(folder) / "agent-host-1.log").read_text()[-2000:], err=True)
                return 1
            began_s = time.monotonic()
            outcomes = await send_load(site, requests)
            seconds = time.monotonic() - began_s
            report = await controller.survey(controller.fleet.members)
            render.survey(report)
            for traffic_class in CLASSES:
                counts = ", ".join(
                    f"{n} {outcome}"
                    for (c, outcome), n in sorted(outcomes.items())
                    if c == traffic_class
                )
                typer.echo(f"{traffic_class}: {counts}")
            broken = breaches(fleet.trace)
            for breach in broken:
                typer.echo(f"rule broken: {breach}", err=True)
            served = sum(n for (_, outcome), n in outcomes.items() if outcome == "served")
            typer.echo(
                f"{served} of {requests} served in {seconds:.1f} s, {len(broken)} rules broken"
            )
            return 0 if served == requests and not broken else 1
        finally:
            await site.stop()
            await fleet.stop()
