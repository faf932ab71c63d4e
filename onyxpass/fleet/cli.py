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
from onyxpass.fleet.config import FleetConfig, Member
from onyxpass.fleet.controller import CommandRejectedError, FleetController, Report, with_limits
from onyxpass.fleet.outcome import ExitCode
from onyxpass.fleet.record import RolloutRecordError
from onyxpass.fleet.rollout import ChangeMethod
from onyxpass.fleet.rollout_lock import RolloutLockedError
from onyxpass.fleet.runner import ChangeOrder
from onyxpass.fleet.selector import SelectorError, select

fleet_app = typer.Typer(
    no_args_is_help=True,
    help="Manage many instances on many hosts. Exit codes: 0 all done, 1 some failed or were not "
    "tried, 2 bad input, 3 some unknown, 4 another rollout is in progress.",
)
rollout_app = typer.Typer(no_args_is_help=True, help="Change many instances wave by wave.")
fleet_app.add_typer(rollout_app, name="rollout")

Result = TypeVar("Result")
FleetFileOption = Annotated[
    Path, typer.Option("--fleet", envvar="ONYXPASS_FLEET", help="The fleet's TOML file.")
]
NamesArgument = Annotated[
    list[str] | None,
    typer.Argument(help="Names of instances, with * and ?. Without names: all instances."),
]
WhereOption = Annotated[str, typer.Option("--where", help="hall=A|B,host=..,name=..,label.KEY!=..")]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
DeadlineOption = Annotated[
    float | None,
    typer.Option("--deadline", min=0.001, help="Time limit for each instance, in seconds."),
]
ForceOption = Annotated[
    bool,
    typer.Option(
        "--force", help="Abort requests that are still open at the deadline, and report them."
    ),
]
RegardlessOption = Annotated[
    bool,
    typer.Option("--regardless", help="Run the command even if it exceeds the fleet's limits."),
]
NoticeOption = Annotated[
    float, typer.Option("--notice", min=0, help="Seconds for which new requests are still served.")
]
DEFAULT_FLEET_FILE = Path("deploy/fleet.toml")


def error_exit(text: str, code: ExitCode) -> typer.Exit:
    typer.echo(f"onyxpass: {text}", err=True)
    return typer.Exit(int(code))


def exit_on_input_error(work: Callable[[], Result]) -> Result:
    """Return the result of ``work``; report bad input or a locked rollout in one line and exit.

    The exit code is 2 for bad input and 4 for a rollout that another process holds.
    """
    try:
        return work()
    except (ConfigError, SelectorError, CommandRejectedError, RolloutRecordError) as error:
        raise error_exit(str(error), ExitCode.BAD_INPUT) from error
    except RolloutLockedError as error:
        raise error_exit(str(error), ExitCode.HELD) from error


def load_selection(
    path: Path, names: list[str] | None, where: str
) -> tuple[FleetConfig, tuple[Member, ...]]:
    fleet = fleet_config.load(path)
    return fleet, select(fleet.members, names or (), where)


def report_and_exit(report: Report, json: bool, show: Callable[[Report], None]) -> None:
    if json:
        render.print_json(report.to_dict())
    else:
        show(report)
    raise typer.Exit(int(report.tally.exit_code()))


def run_async(work: Coroutine[Any, Any, Result]) -> Result:
    return exit_on_input_error(lambda: asyncio.run(work))


@fleet_app.callback()
def prepare() -> None:
    from onyxpass.logs import configure_for_command

    configure_for_command()


@fleet_app.command("list")
def list_(
    names: NamesArgument = None,
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
    where: WhereOption = "",
    json: JsonOption = False,
    deadline: float = 3.0,
) -> None:
    """List the state, configuration, open requests and drain of each instance."""
    loaded_fleet, members = exit_on_input_error(lambda: load_selection(fleet, names, where))
    controller = exit_on_input_error(lambda: FleetController(loaded_fleet))
    report_and_exit(run_async(controller.survey(members, deadline)), json, render.survey)


@fleet_app.command("inspect")
def inspect(
    names: NamesArgument = None,
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
    where: WhereOption = "",
    deadline: float = 3.0,
) -> None:
    """Show all that is known of instances, as JSON: figures, configuration, last exits."""
    loaded_fleet, members = exit_on_input_error(lambda: load_selection(fleet, names, where))
    controller = exit_on_input_error(lambda: FleetController(loaded_fleet))
    report_and_exit(run_async(controller.inspect(members, deadline)), True, render.survey)


def run_order(
    kind: str,
    path: Path,
    names: list[str] | None,
    where: str,
    json: bool,
    deadline: float | None,
    options: Mapping[str, Any],
    regardless: bool = False,
) -> None:
    loaded_fleet, members = exit_on_input_error(lambda: load_selection(path, names, where))
    controller = exit_on_input_error(lambda: FleetController(loaded_fleet))
    deadline_s = deadline or loaded_fleet.limits.deadline_s
    order = controller.order(kind, members, deadline_s, options, regardless=regardless)
    report = run_async(order if json else render.run_with_progress(controller, members, order))
    report_and_exit(report, json, render.outcomes)


@fleet_app.command("reload")
def reload(
    names: NamesArgument = None,
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
    where: WhereOption = "",
    json: JsonOption = False,
    deadline: DeadlineOption = None,
    restart: Annotated[
        bool, typer.Option("--restart", help="Restart instances whose change needs a restart.")
    ] = False,
) -> None:
    """Have instances read their files again.

    An instance is done once its new digest has been read back from it.
    """
    run_order("reload", fleet, names, where, json, deadline, {"restart": restart})


@fleet_app.command("drain")
def drain(
    names: NamesArgument = None,
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
    where: WhereOption = "",
    json: JsonOption = False,
    deadline: DeadlineOption = None,
    notice: NoticeOption = 1.0,
    force: ForceOption = False,
    regardless: RegardlessOption = False,
) -> None:
    """Stop taking new requests and wait until the last final answer has been sent."""
    options = {"force": force, "notice_ms": round(notice * 1000)}
    run_order("drain", fleet, names, where, json, deadline, options, regardless)


@fleet_app.command("undrain")
def undrain(
    names: NamesArgument = None,
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
    where: WhereOption = "",
    json: JsonOption = False,
    deadline: DeadlineOption = None,
) -> None:
    """Serve again after a drain."""
    run_order("undrain", fleet, names, where, json, deadline, {})


@fleet_app.command("restart")
def restart(
    names: NamesArgument = None,
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
    where: WhereOption = "",
    json: JsonOption = False,
    deadline: DeadlineOption = None,
    force: ForceOption = False,
    no_drain: Annotated[
        bool, typer.Option("--no-drain", help="Send SIGTERM without a drain.")
    ] = False,
    regardless: RegardlessOption = False,
) -> None:
    """Drain and restart all selected instances at once; a rollout restarts them in waves."""
    options = {"force": force, "drain": not no_drain}
    run_order("restart", fleet, names, where, json, deadline, options, regardless)


@fleet_app.command("events")
def events(
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
    json: JsonOption = False,
    follow: Annotated[
        bool, typer.Option("--follow", help="Print new events until Ctrl-C.")
    ] = False,
    deadline: float = 3.0,
) -> None:
    """List the events of all agents, sorted by time."""
    loaded_fleet = exit_on_input_error(lambda: fleet_config.load(fleet))
    controller = exit_on_input_error(lambda: FleetController(loaded_fleet))
    last_numbers: dict[str, int] = {}  # by host
    errors: list[str] = []
    try:
        while True:
            new_events, errors = run_async(controller.events(last_numbers, deadline))
            for event in new_events:
                last_numbers[event["host"]] = max(
                    last_numbers.get(event["host"], 0), event["number"]
                )
            if json:
                for event in new_events:
                    render.print_json(event)
            else:
                render.events(new_events)
            if not follow:
                break
            time.sleep(1.0)
    except KeyboardInterrupt:
        raise typer.Exit(0) from None
    for error in errors:
        typer.echo(f"onyxpass: {error}", err=True)
    raise typer.Exit(int(ExitCode.UNKNOWN if errors else ExitCode.DONE))


OutOption = Annotated[
    str | None,
    typer.Option(
        "--out",
        help="Instances out of service at once in the fleet: a number, or a share such as 25%.",
    ),
]
OutHallOption = Annotated[
    str | None,
    typer.Option(
        "--out-hall",
        help="Instances out of service at once in a hall: a number, or a share of the smallest hall.",
    ),
]
OutHostOption = Annotated[
    int | None, typer.Option("--out-host", help="Instances out of service at once on a host.")
]
CanariesOption = Annotated[
    int | None,
    typer.Option(
        "--canaries", help="Number of instances that are changed first, before any others."
    ),
]
PauseOption = Annotated[
    float | None, typer.Option("--pause", help="Pause after each wave, in seconds.")
]
AbortAfterOption = Annotated[
    int | None,
    typer.Option(
        "--abort-after", help="Abort once this many instances have failed or are unknown."
    ),
]
MethodOption = Annotated[
    ChangeMethod, typer.Option("--method", help="auto: reload, and restart where that is needed.")
]


def parse_count_or_share(text: str | None) -> int | str | None:
    return int(text) if text is not None and text.isascii() and text.isdigit() else text


def apply_limit_options(
    fleet: FleetConfig,
    out: str | None,
    out_hall: str | None,
    out_host: int | None,
    canaries: int | None,
    pause: float | None,
    abort_after: int | None,
    deadline: float | None,
) -> FleetConfig:
    return with_limits(
        fleet,
        out=parse_count_or_share(out),
        out_hall=parse_count_or_share(out_hall),
        out_host=out_host,
        canaries=canaries,
        pause_s=pause,
        abort_after=abort_after,
        deadline_s=deadline,
    )


@rollout_app.command("plan")
def rollout_plan(
    names: NamesArgument = None,
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
    where: WhereOption = "",
    json: JsonOption = False,
    method: MethodOption = ChangeMethod.AUTO,
    out: OutOption = None,
    out_hall: OutHallOption = None,
    out_host: OutHostOption = None,
    canaries: CanariesOption = None,
) -> None:
    """Show the waves that follow if each change succeeds. Nothing is changed."""
    loaded_fleet, members = exit_on_input_error(lambda: load_selection(fleet, names, where))
    loaded_fleet = exit_on_input_error(
        lambda: apply_limit_options(
            loaded_fleet, out, out_hall, out_host, canaries, None, None, None
        )
    )
    controller = exit_on_input_error(lambda: FleetController(loaded_fleet))
    plan, targets, excluded, _ = run_async(controller.plan_rollout(members, method))
    changing = {instance.name for wave in plan.waves for instance in wave} | set(plan.impossible)
    unchanged = sorted(targets.keys() - changing)
    if json:
        render.print_json(
            {
                "waves": [[instance.name for instance in wave] for wave in plan.waves],
                "impossible": dict(plan.impossible),
                "beside": {name: outcome.to_dict() for name, outcome in excluded.items()},
                "same": unchanged,
            }
        )
    else:
        render.plan(plan, excluded, unchanged)
    raise typer.Exit(int(ExitCode.FAILED if excluded or plan.impossible else ExitCode.DONE))


@rollout_app.command("run")
def rollout_run(
    names: NamesArgument = None,
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
    where: WhereOption = "",
    json: JsonOption = False,
    method: MethodOption = ChangeMethod.AUTO,
    deadline: DeadlineOption = None,
    force: ForceOption = False,
    out: OutOption = None,
    out_hall: OutHallOption = None,
    out_host: OutHostOption = None,
    canaries: CanariesOption = None,
    pause: PauseOption = None,
    abort_after: AbortAfterOption = None,
) -> None:
    """Apply the present configuration files to all selected instances, wave by wave."""
    loaded_fleet, members = exit_on_input_error(lambda: load_selection(fleet, names, where))
    loaded_fleet = exit_on_input_error(
        lambda: apply_limit_options(
            loaded_fleet, out, out_hall, out_host, canaries, pause, abort_after, deadline
        )
    )
    controller = exit_on_input_error(lambda: FleetController(loaded_fleet))
    order = ChangeOrder(method, loaded_fleet.limits.deadline_s, force)
    id, report = run_async(
        controller.run_rollout(members, order, (lambda *_: None) if json else render.step)
    )
    if not json:
        typer.echo(f"rollout {id}")
    report_and_exit(report, json, render.outcomes)


@rollout_app.command("resume")
def rollout_resume(
    id: Annotated[str, typer.Argument(help="Id of the rollout; the latest by default.")] = "",
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
    json: JsonOption = False,
) -> None:
    """Resume a rollout whose process has ended, from the present state of its instances."""
    loaded_fleet = exit_on_input_error(lambda: fleet_config.load(fleet))
    controller = exit_on_input_error(lambda: FleetController(loaded_fleet))
    id, report = run_async(
        controller.resume_rollout(id, (lambda *_: None) if json else render.step)
    )
    if not json:
        typer.echo(f"rollout {id}")
    report_and_exit(report, json, render.outcomes)


@rollout_app.command("status")
def rollout_status(
    id: Annotated[str, typer.Argument(help="Id of the rollout; the latest by default.")] = "",
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
    json: JsonOption = False,
) -> None:
    """Show a recorded rollout, and who runs it."""
    loaded_fleet = exit_on_input_error(lambda: fleet_config.load(fleet))
    controller = exit_on_input_error(lambda: FleetController(loaded_fleet))
    recorded, holder = exit_on_input_error(lambda: controller.rollout_status(id))
    if json:
        render.print_json(render.recorded_rollout_dict(recorded, holder))
    else:
        render.recorded_rollout(recorded, holder)


@rollout_app.command("abort")
def rollout_abort(
    id: Annotated[str, typer.Argument(help="Id of the rollout; the latest by default.")] = "",
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
    why: Annotated[
        str, typer.Option("--why", help="Reason that is recorded.")
    ] = "aborted by an operator",
) -> None:
    """Abort a rollout. Its process sends no further orders and waits for those already sent."""
    loaded_fleet = exit_on_input_error(lambda: fleet_config.load(fleet))
    controller = exit_on_input_error(lambda: FleetController(loaded_fleet))
    id, is_running = run_async(controller.abort_rollout(id, why))
    typer.echo(
        f"rollout {id}: "
        + ("abort requested; the process that runs it will end it" if is_running else "aborted")
    )


@fleet_app.command("check")
def check(fleet: FleetFileOption = DEFAULT_FLEET_FILE) -> None:
    """Check the fleet's file and print a summary; exit code 2 if the file is invalid."""
    loaded_fleet = exit_on_input_error(lambda: fleet_config.load(fleet))
    halls = ", ".join(
        f"{hall} ({sum(m.hall == hall for m in loaded_fleet.members)}, keeps {loaded_fleet.keep[hall]:g})"
        for hall in loaded_fleet.halls
    )
    typer.echo(
        f"{loaded_fleet.name}: {len(loaded_fleet.members)} instances under {len(loaded_fleet.agents)} agents; halls: {halls}"
    )


@fleet_app.command("schema")
def schema() -> None:
    """Print the JSON Schema of the fleet's file."""
    from onyxpass.config.toml_config import schema_text

    typer.echo(schema_text(fleet_config.FleetFile, "onyxpass fleet file"), nl=False)
