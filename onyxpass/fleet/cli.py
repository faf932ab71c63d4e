"""``onyxpass fleet``: the commands, their options and their exit codes."""

import asyncio
import time
from collections.abc import Callable, Coroutine, Mapping
from pathlib import Path
from typing import Annotated, Any, TypeVar

import typer

from onyxpass.config.platform_file import ConfigError
from onyxpass.fleet import config as fleet_config
from onyxpass.fleet import render
from onyxpass.fleet.config import Fleet, Member
from onyxpass.fleet.controller import CommandRejectedError, FleetController, Report, with_limits
from onyxpass.fleet.outcome import ExitCode
from onyxpass.fleet.record import RolloutRecordError
from onyxpass.fleet.rollout import ChangeMethod
from onyxpass.fleet.rollout_lock import RolloutLockedError
from onyxpass.fleet.runner import ChangeOrder
from onyxpass.fleet.selector import SelectorError, select

fleet_app = typer.Typer(
    no_args_is_help=True,
    help="Many instances on many hosts. ExitCode codes: 0 all done, 1 some failed or were not tried, "
    "2 bad input, 3 some unknown, 4 another rollout is under way.",
)
rollout_app = typer.Typer(
    no_args_is_help=True, help="Bring a change to many instances, wave by wave."
)
fleet_app.add_typer(rollout_app, name="rollout")

Found = TypeVar("Found")
File = Annotated[
    Path, typer.Option("--fleet", envvar="ONYXPASS_FLEET", help="The fleet's TOML file.")
]
Names = Annotated[
    list[str] | None, typer.Argument(help="Instances by name, with * and ?; none: all.")
]
Where = Annotated[str, typer.Option("--where", help="hall=A|B,host=..,name=..,label.KEY!=..")]
Json = Annotated[bool, typer.Option("--json", help="For programs.")]
Deadline = Annotated[
    float | None, typer.Option("--deadline", min=0.001, help="Seconds for each instance.")
]
Force = Annotated[
    bool, typer.Option("--force", help="Cut short what is open at the deadline; reported.")
]
Regardless = Annotated[
    bool, typer.Option("--regardless", help="Even if this passes the fleet's limits.")
]
Notice = Annotated[
    float, typer.Option("--notice", min=0, help="Seconds for which what still comes is served.")
]
DEFAULT = Path("deploy/fleet.toml")


def stop(text: str, code: ExitCode) -> typer.Exit:
    typer.echo(f"onyxpass: {text}", err=True)
    return typer.Exit(int(code))


def guarded(work: Callable[[], Found]) -> Found:
    """Every fault of the input is one line and exit code 2, before anything is done."""
    try:
        return work()
    except (ConfigError, SelectorError, CommandRejectedError, RolloutRecordError) as problem:
        raise stop(str(problem), ExitCode.BAD_INPUT) from problem
    except RolloutLockedError as problem:
        raise stop(str(problem), ExitCode.HELD) from problem


def opened(path: Path, names: list[str] | None, where: str) -> tuple[Fleet, tuple[Member, ...]]:
    fleet = fleet_config.load(path)
    return fleet, select(fleet.members, names or (), where)


def finish(report: Report, json: bool, show: Callable[[Report], None]) -> None:
    if json:
        render.as_json(report.to_dict())
    else:
        show(report)
    raise typer.Exit(int(report.tally.exit_code()))


def run(work: Coroutine[Any, Any, Found]) -> Found:
    return guarded(lambda: asyncio.run(work))


@fleet_app.callback()
def prepare() -> None:
    from onyxpass.logs import configure_for_command

    configure_for_command()


@fleet_app.command("list")
def list_(
    names: Names = None,
    fleet: File = DEFAULT,
    where: Where = "",
    json: Json = False,
    deadline: float = 3.0,
) -> None:
    """How each instance stands: state, configuration, what is open, its drain."""
    found, members = guarded(lambda: opened(fleet, names, where))
    controller = guarded(lambda: FleetController(found))
    finish(run(controller.survey(members, deadline)), json, render.survey)


@fleet_app.command("inspect")
def inspect(
    names: Names = None, fleet: File = DEFAULT, where: Where = "", deadline: float = 3.0
) -> None:
    """All that is known of instances, as JSON: figures, configuration, last exits."""
    found, members = guarded(lambda: opened(fleet, names, where))
    controller = guarded(lambda: FleetController(found))
    finish(run(controller.inspect(members, deadline)), True, render.survey)


def ordered(
    kind: str,
    path: Path,
    names: list[str] | None,
    where: str,
    json: bool,
    deadline: float | None,
    options: Mapping[str, Any],
    regardless: bool = False,
) -> None:
    found, members = guarded(lambda: opened(path, names, where))
    controller = guarded(lambda: FleetController(found))
    deadline_s = deadline or found.limits.deadline_s
    order = controller.order(kind, members, deadline_s, options, regardless=regardless)
    report = run(order if json else render.watched(controller, members, order))
    finish(report, json, render.outcomes)


@fleet_app.command("reload")
def reload(
    names: Names = None,
    fleet: File = DEFAULT,
    where: Where = "",
    json: Json = False,
    deadline: Deadline = None,
    restart: Annotated[
        bool, typer.Option("--restart", help="Restart where that is needed.")
    ] = False,
) -> None:
    """Let instances read their files again. Done: the new digest was read back from the
    instance.
    """
    ordered("reload", fleet, names, where, json, deadline, {"restart": restart})


@fleet_app.command("drain")
def drain(
    names: Names = None,
    fleet: File = DEFAULT,
    where: Where = "",
    json: Json = False,
    deadline: Deadline = None,
    notice: Notice = 1.0,
    force: Force = False,
    regardless: Regardless = False,
) -> None:
    """Take nothing new, and wait till the last final answer has gone out."""
    options = {"force": force, "notice_ms": round(notice * 1000)}
    ordered("drain", fleet, names, where, json, deadline, options, regardless)


@fleet_app.command("undrain")
def undrain(
    names: Names = None,
    fleet: File = DEFAULT,
    where: Where = "",
    json: Json = False,
    deadline: Deadline = None,
) -> None:
    """Serve again."""
    ordered("undrain", fleet, names, where, json, deadline, {})


@fleet_app.command("restart")
def restart(
    names: Names = None,
    fleet: File = DEFAULT,
    where: Where = "",
    json: Json = False,
    deadline: Deadline = None,
    force: Force = False,
    no_drain: Annotated[bool, typer.Option("--no-drain", help="SIGTERM at once.")] = False,
    regardless: Regardless = False,
) -> None:
    """Drain and restart instances, all of the selected at once; a rollout goes by waves."""
    options = {"force": force, "drain": not no_drain}
    ordered("restart", fleet, names, where, json, deadline, options, regardless)


@fleet_app.command("events")
def events(
    fleet: File = DEFAULT,
    json: Json = False,
    follow: Annotated[bool, typer.Option("--follow", help="Go on till Ctrl-C.")] = False,
    deadline: float = 3.0,
) -> None:
    """What has happened at all agents, by time."""
    found = guarded(lambda: fleet_config.load(fleet))
    controller = guarded(lambda: FleetController(found))
    since: dict[str, int] = {}
    silent: list[str] = []
    try:
        while True:
            news, silent = run(controller.events(since, deadline))
            for event in news:
                since[event["host"]] = max(since.get(event["host"], 0), event["number"])
            if json:
                for event in news:
                    render.as_json(event)
            else:
                render.events(news)
            if not follow:
                break
            time.sleep(1.0)
    except KeyboardInterrupt:
        raise typer.Exit(0) from None
    for problem in silent:
        typer.echo(f"onyxpass: {problem}", err=True)
    raise typer.Exit(int(ExitCode.UNKNOWN if silent else ExitCode.DONE))


Out = Annotated[
    str | None, typer.Option("--out", help="At once in all: a number, or a share such as 25%.")
]
OutHall = Annotated[str | None, typer.Option("--out-hall", help="At once in a hall.")]
OutHost = Annotated[int | None, typer.Option("--out-host", help="At once on a host.")]
Canaries = Annotated[int | None, typer.Option("--canaries", help="So many go first, alone.")]
PauseS = Annotated[float | None, typer.Option("--pause", help="Seconds after each wave.")]
AbortAfter = Annotated[
    int | None, typer.Option("--abort-after", help="So many failed or unknown ones.")
]
MethodOption = Annotated[
    ChangeMethod, typer.Option("--method", help="auto: reload, and restart where needed.")
]


def number_or_share(text: str | None) -> int | str | None:
    return int(text) if text is not None and text.isascii() and text.isdigit() else text


def limited(
    fleet: Fleet,
    out: str | None,
    out_hall: str | None,
    out_host: int | None,
    canaries: int | None,
    pause: float | None,
    abort_after: int | None,
    deadline: float | None,
) -> Fleet:
    return with_limits(
        fleet,
        out=number_or_share(out),
        out_hall=number_or_share(out_hall),
        out_host=out_host,
        canaries=canaries,
        pause_s=pause,
        abort_after=abort_after,
        deadline_s=deadline,
    )


@rollout_app.command("plan")
def rollout_plan(
    names: Names = None,
    fleet: File = DEFAULT,
    where: Where = "",
    json: Json = False,
    method: MethodOption = ChangeMethod.AUTO,
    out: Out = None,
    out_hall: OutHall = None,
    out_host: OutHost = None,
    canaries: Canaries = None,
) -> None:
    """The waves as they would be if each change went well. Nothing is done."""
    found, members = guarded(lambda: opened(fleet, names, where))
    found = guarded(lambda: limited(found, out, out_hall, out_host, canaries, None, None, None))
    controller = guarded(lambda: FleetController(found))
    waves, targets, beside, _ = run(controller.plan_rollout(members, method))
    changing = {unit.name for wave in waves.waves for unit in wave} | set(waves.impossible)
    same = sorted(targets.keys() - changing)
    if json:
        render.as_json(
            {
                "waves": [[unit.name for unit in wave] for wave in waves.waves],
                "impossible": dict(waves.impossible),
                "beside": {name: outcome.to_dict() for name, outcome in beside.items()},
                "same": same,
            }
        )
    else:
        render.plan(waves, beside, same)
    raise typer.Exit(int(ExitCode.FAILED if beside or waves.impossible else ExitCode.DONE))


@rollout_app.command("run")
def rollout_run(
    names: Names = None,
    fleet: File = DEFAULT,
    where: Where = "",
    json: Json = False,
    method: MethodOption = ChangeMethod.AUTO,
    deadline: Deadline = None,
    force: Force = False,
    out: Out = None,
    out_hall: OutHall = None,
    out_host: OutHost = None,
    canaries: Canaries = None,
    pause: PauseS = None,
    abort_after: AbortAfter = None,
) -> None:
    """Bring the files as they are now to all selected instances, wave by wave."""
    found, members = guarded(lambda: opened(fleet, names, where))
    found = guarded(
        lambda: limited(found, out, out_hall, out_host, canaries, pause, abort_after, deadline)
    )
    controller = guarded(lambda: FleetController(found))
    order = ChangeOrder(method, found.limits.deadline_s, force)
    id, report = run(
        controller.run_rollout(members, order, (lambda *_: None) if json else render.step)
    )
    if not json:
        typer.echo(f"rollout {id}")
    finish(report, json, render.outcomes)


@rollout_app.command("resume")
def rollout_resume(
    id: Annotated[str, typer.Argument(help="The rollout; the latest, if none is named.")] = "",
    fleet: File = DEFAULT,
    json: Json = False,
) -> None:
    """Go on with a rollout whose tool was ended, from what is really so."""
    found = guarded(lambda: fleet_config.load(fleet))
    controller = guarded(lambda: FleetController(found))
    id, report = run(controller.resume_rollout(id, (lambda *_: None) if json else render.step))
    if not json:
        typer.echo(f"rollout {id}")
    finish(report, json, render.outcomes)


@rollout_app.command("status")
def rollout_status(
    id: Annotated[str, typer.Argument(help="The rollout; the latest, if none is named.")] = "",
    fleet: File = DEFAULT,
    json: Json = False,
) -> None:
    """A rollout as it is on record, and who runs it."""
    found = guarded(lambda: fleet_config.load(fleet))
    controller = guarded(lambda: FleetController(found))
    recorded, holder = guarded(lambda: controller.rollout_status(id))
    if json:
        render.as_json(render.recorded_told(recorded, holder))
    else:
        render.recorded(recorded, holder)


@rollout_app.command("abort")
def rollout_abort(
    id: Annotated[str, typer.Argument(help="The rollout; the latest, if none is named.")] = "",
    fleet: File = DEFAULT,
    why: Annotated[str, typer.Option("--why", help="For the record.")] = "aborted by an operator",
) -> None:
    """Order nothing more. What was ordered is waited for by the tool that runs the rollout."""
    found = guarded(lambda: fleet_config.load(fleet))
    controller = guarded(lambda: FleetController(found))
    id, runs = run(controller.abort_rollout(id, why))
    typer.echo(
        f"rollout {id}: " + ("its tool ends it before its next order" if runs else "aborted")
    )


@fleet_app.command("check")
def check(fleet: File = DEFAULT) -> None:
    """Read the file and say what it holds; exit code 2 if it is no use."""
    found = guarded(lambda: fleet_config.load(fleet))
    halls = ", ".join(
        f"{hall} ({sum(m.hall == hall for m in found.members)}, keeps {found.keep[hall]:g})"
        for hall in found.halls
    )
    typer.echo(
        f"{found.name}: {len(found.members)} instances under {len(found.agents)} agents; halls: {halls}"
    )


@fleet_app.command("schema")
def schema() -> None:
    """The JSON Schema of the fleet's file."""
    from onyxpass.config.toml_config import schema_text

    typer.echo(schema_text(fleet_config.FleetFile, "onyxpass fleet file"), nl=False)
