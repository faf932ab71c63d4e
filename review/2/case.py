"""One spoilt stream that opens with load reports without end, beside the usual traffic."""

import asyncio
import os
import sys
from collections.abc import Sequence
from pathlib import Path

from standins import (
    STREAM_HEAD,
    Answer,
    CannotRunError,
    Discovery,
    Programs,
    Record,
    Replica,
    States,
    chunk,
    dispatcher_config,
    free_port,
    send,
)

SPOILT_AT_S = 5.0
PLAY_S = 12.0
LIMIT_S = 60.0  # for a client to wait, long after its time
TIMES_S = {"part-lookup": 3.0, "shift-summary": 7.5, "stock-booking": 3.75}  # half of each class's
LATE_S = 0.5  # after its time an answer only earns nothing; later, the request is lost
SLACK_S = 0.05  # by which every time limit is longer on sockets
REPORT = b": X-Server-Load: ?\n\n"  # an unreadable load report, as the comment line of a stream
REPORTS_AT_ONCE = 200
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class SpoiltWriter(Replica):
    """A writer whose next stream may be spoilt: the request runs, and reports come without end."""

    spoil_next = False  # of all writers
    reports = 0

    async def answer(self, writer: asyncio.StreamWriter, request: str) -> bool:
        """Answer one request."""
        if not SpoiltWriter.spoil_next or request not in self.states.holders:
            return await super().answer(writer, request)
        SpoiltWriter.spoil_next = False
        self.states.holders.pop(request)
        self.record.write("run", id=request, at=self.name, spoilt=True)
        writer.write(STREAM_HEAD)
        while True:
            writer.write(chunk(REPORT) * REPORTS_AT_ONCE)
            SpoiltWriter.reports += REPORTS_AT_ONCE
            await writer.drain()


async def usual_clients(port: int, record: Record) -> Sequence[tuple[str, float, Answer]]:
    """Send ten requests a second, of all classes; return class, seconds and answer of each."""

    async def one(number: int, name: str) -> tuple[str, float, Answer]:
        began_s = record.now()
        answer = await send(
            port, record, f"{number:016x}", name, f"s{number % 7}", TIMES_S[name], LIMIT_S
        )
        return name, answer.began_s - began_s, answer

    tasks: list[asyncio.Task[tuple[str, float, Answer]]] = []
    while record.now() < PLAY_S:
        name = tuple(TIMES_S)[len(tasks) % len(TIMES_S)]
        tasks.append(asyncio.create_task(one(len(tasks), name)))
        if TROUBLE and not SpoiltWriter.reports and record.now() >= SPOILT_AT_S:
            SpoiltWriter.spoil_next = True
        await asyncio.sleep(0.1)
    return await asyncio.gather(*tasks)


async def play(record: Record) -> int:
    """Play the case and return its exit code."""
    states, discovery = States(), Discovery(record)
    for number, hall in enumerate(("boa-vista", "santo-amaro", "derby"), 1):
        reader = Replica(f"reader-{number}", "read", record, states)
        writer = SpoiltWriter(f"writer-{number}", "write", record, states)
        for replica, kind in ((reader, "reader"), (writer, "writer")):
            await replica.start()
            discovery.add(replica, kind, hall)
    await discovery.start()
    async with Programs(record) as programs:
        port = free_port()
        process = await programs.dispatcher(dispatcher_config("n1", port, discovery.address))
        answers = await usual_clients(port, record)
        ended = process.returncode is not None
    if TROUBLE and not SpoiltWriter.reports:
        raise CannotRunError("no stream was spoilt")
    lost = [
        name
        for name, seconds, answer in answers
        if not answer.status or seconds > TIMES_S[name] + LATE_S + SLACK_S
    ]
    longest_s = max(seconds for _, seconds, _ in answers)
    record.write(
        "verdict",
        usual=len(answers),
        lost=len(lost),
        longest_s=round(longest_s, 1),
        reports=SpoiltWriter.reports,
        ended=ended,
    )
    return 1 if lost or ended else 0


def main() -> int:
    """Play the case beside its record."""
    record = Record(Path(__file__).parent / "record.txt")
    try:
        return asyncio.run(asyncio.wait_for(play(record), 110))
    except (CannotRunError, TimeoutError, OSError) as error:
        record.write("could_not_run", why=repr(error))
        return 2


if __name__ == "__main__":
    sys.exit(main())
