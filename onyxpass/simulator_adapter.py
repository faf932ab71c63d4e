"""The simulator's wire on standard input and output, mapped to the contract and back.

Each line is a batch of events for many instances. Each instance has a router of its own, made by
``begin`` and dropped by ``kill``. The adapter owns the routers and decides nothing.
"""

import json
import sys
from typing import Any, TextIO

from onyxpass.config.settings import read_settings
from onyxpass.scheduling import contract
from onyxpass.scheduling.router import Router

# The wire's words and the contract's
STATUSES = {
    "ok": contract.AttemptStatus.COMPLETED,
    "error": contract.AttemptStatus.ERROR,
    "full": contract.AttemptStatus.OVERLOADED,
    "timeout": contract.AttemptStatus.TIMED_OUT,
    "connect_failed": contract.AttemptStatus.UNREACHABLE,
    "reset": contract.AttemptStatus.RESET,
    "cancelled": contract.AttemptStatus.CANCELLED,
    "moot": contract.AttemptStatus.NOT_SENT,
    "READ": contract.AttemptStatus.PREFILLED,
}
FORMS = {
    "Partial": contract.EndpointUpdateForm.DELTA,
    "Complete": contract.EndpointUpdateForm.COMPLETE,
    "Persisted": contract.EndpointUpdateForm.PERSISTED,
    "Error": contract.EndpointUpdateForm.FAILED,
}
REPORT_FIELDS = {
    "x0": "memory_utilization",
    "x1": "waiting_k_tokens",
    "concurrent": "in_flight",
    "depth": "queued",
    "mean_ms": "latency_ms",
}


class WireError(ValueError):
    """A line or event that the wire does not allow.

    ``fault`` says what is wrong, ``cause`` is the error that showed it, if any.
    """

    def __init__(self, fault: str, cause: Exception | None = None) -> None:
        super().__init__(fault if cause is None else f"{fault}: {cause!r}")
        self.fault = fault
        self.cause = cause


def read_endpoint(entry: list[Any]) -> contract.Endpoint:
    """Return the endpoint that an entry of a server list describes."""
    zone, kind, started, cell, condition, server, weight = entry[:7]
    return contract.Endpoint(
        id=str(server),
        kind=str(kind),
        zone=str(zone),
        cell=int(cell or 0),
        started_us=int(started) if started else None,
        condition=contract.EndpointCondition(condition),
        weight=float(weight if weight is not None else 1.0),
    )


def read_report(fields: list[str], values: list[Any] | None) -> contract.LoadReport | None:
    """Return the load report with these values, None if there are none.

    ``fields`` are the wire's names of the values; fields unknown to the contract are passed over.
    """
    if not values:
        return None
    named = {
        REPORT_FIELDS[field]: float(value)
        for field, value in zip(fields, values, strict=False)
        if field in REPORT_FIELDS and isinstance(value, int | float)
    }
    return contract.LoadReport(**named)


def read_arrival(e: list[Any]) -> contract.Arrival:
    """Return the request that a ``knock`` describes."""
    return contract.Arrival(
        id=e[2],
        traffic_class=str(e[3]),
        tenant=e[4] or None,
        session=str(e[5]),
        deadline_us=int(e[6]),
        expected_stream_us=int(e[7]) if e[7] is not None else None,
        prefix=e[8] or None,
        prompt_tokens=int(e[9] or 0),
        prefix_tokens=int(e[10] or 0),
        max_tokens=int(e[11] or 0),
        is_retry=bool(e[12]),
        resumed=bool(e[13]),
    )


def read_outcome(e: list[Any], fields: list[str]) -> contract.AttemptOutcome:
    """Return the end of an attempt that a ``completed`` describes."""
    return contract.AttemptOutcome(
        id=e[2],
        attempt=int(e[3]),
        server=str(e[4]),
        status=STATUSES[e[5]],
        elapsed_us=int(e[6] or 0),
        final=bool(e[7]),
        note=int(e[8] or 0),
        report=read_report(fields, e[9]),
    )


def write_action(instance: int, action: contract.Action) -> list[Any]:  # noqa: PLR0911
    """Return an action of this instance as the wire has it."""
    # One return for each form of the wire, which reads better than a table of functions.
    match action:
        case contract.SendAttempt(request, server, timeout_us):
            return ["transmit", instance, request, server, timeout_us]
        case contract.Reject(request, retry_after_us):
            return ["overloadReply", instance, request, retry_after_us]
        case contract.Fail(request):
            return ["dropRequest", instance, request]
        case contract.ReleaseState(request):
            return ["unhold", instance, request]
        case contract.CancelAttempt(request, attempt):
            return ["revoke", instance, request, attempt]
        case contract.HealthCheck(server):
            return ["ping", instance, server]
        case contract.SetTimer(ref, delay_us):
            return ["defer", instance, ref, delay_us]
        case contract.FetchEndpoints():
            return ["pull", instance]
        case contract.WatchEndpoints(active):
            return ["watch", instance, active]
        case contract.LogMessage(text):
            return ["journalLine", instance, text]


class SimulatorAdapter:
    """All instances that this process hosts, and the numbered server lists that they share."""

    def __init__(self) -> None:
        self._routers: dict[int, Router] = {}
        self._report_fields: dict[int, list[str]] = {}  # by instance: its load reports' fields
        self._endpoint_lists: dict[int, tuple[contract.Endpoint, ...]] = {}

    def answer(self, line: str) -> str:
        """Handle the events of one line and return the line with the actions.

        Raises ``WireError`` for a line that is no batch or has an event that is none.
        """
        try:
            message = json.loads(line)
            now_us = int(message["wallUs"])
            number = message["batch"]
            events = message["happened"]
        except (ValueError, KeyError, TypeError) as error:
            raise WireError("not a batch", error) from error
        if not isinstance(events, list) or not isinstance(number, int):
            raise WireError("a batch needs a number and an array of events")
        outbox: list[list[Any]] = []
        for event in events:
            self._handle(now_us, event, outbox)
        return json.dumps({"batch": number, "outbox": outbox}, separators=(",", ":"))

    def _handle(self, now_us: int, wire_event: list[Any], outbox: list[list[Any]]) -> None:
        """Pass one event to its instance and append the instance's actions."""
        try:
            name = str(wire_event[0])
            number = int(wire_event[1])
            if self._handle_setup(name, number, wire_event):
                return
            router = self._routers[number]
            event = self._read_event(name, number, wire_event)
        except (ValueError, KeyError, TypeError, IndexError, AttributeError) as error:
            raise WireError(f"not an event: {str(wire_event)[:200]}", error) from error
        try:
            outbox.extend(write_action(number, action) for action in router.handle(now_us, event))
        except Exception as error:  # noqa: BLE001
            # The wire has its own form for a fault in the decision code, of whatever type.
            outbox.append(["bailOut", number, f"{type(error).__name__}: {error}"])

    def _handle_setup(self, name: str, number: int, e: list[Any]) -> bool:
        """Handle what sets up server lists and instances; return whether the event was that."""
        match name:
            case "list":
                self._endpoint_lists[number] = tuple(read_endpoint(entry) for entry in e[2])
            case "begin":
                self._report_fields[number] = list((e[3].get("stats") or {}).get("fields") or [])
                self._routers[number] = Router(read_settings(e[3]), int(e[2]))
            case "kill":
                self._routers.pop(number, None)
            case _:
                return False
        return True

    def _read_event(self, name: str, number: int, e: list[Any]) -> contract.Event:
        """Return the contract's form of a wire event."""
        fields = self._report_fields[number]
        match name:
            case "knock":
                return read_arrival(e)
            case "completed":
                return read_outcome(e, fields)
            case "underWay":
                return contract.StreamStarted(
                    id=e[2], attempt=int(e[3]), elapsed_us=int(e[4] or 0), server=str(e[5])
                )
            case "withdrawn":
                return contract.RequestWithdrawn(e[2])
            case "wake":
                return contract.TimerFired(int(e[2]))
            case "probeDone":
                return contract.HealthCheckResult(
                    str(e[2]), e[3] == "ok", int(e[4] or 0), read_report(fields, e[5])
                )
            case "rosterChange":
                return self._read_endpoint_update(e)
            case "note" | "noteFrom":
                return contract.IgnoredEvent()
        raise WireError(f"unknown event {name!r}")

    def _read_endpoint_update(self, e: list[Any]) -> contract.EndpointUpdate:
        form = FORMS[e[2]]
        if form is contract.EndpointUpdateForm.FAILED:
            return contract.EndpointUpdate(form, (), int(e[3] or 0))
        return contract.EndpointUpdate(form, self._endpoint_lists[int(e[4])], int(e[3] or 0))


def main(source: TextIO, sink: TextIO) -> int:
    """Answer batches until the input ends; return the exit code.

    A line that is no batch ends it with a message on standard error and exit code 2.
    """
    adapter = SimulatorAdapter()
    for line in source:
        try:
            reply = adapter.answer(line)
        except WireError as error:
            print(f"onyxpass: {error}", file=sys.stderr)
            return 2
        sink.write(reply + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.stdin, sys.stdout))
