"""The source of watched files as an actor: reads, judges, and brings whole views into force.

A view reaches the core as one list event, with its number; addresses go to the fleet in the same
turn of the loop. What is refused changes nothing, and is logged once with every reason.
"""

import asyncio
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from pathlib import Path

import structlog

from onyxpass.config import toml_config
from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.scheduling import contract
from onyxpass.sources import schema, snapshot
from onyxpass.sources.debounce import Debouncer, Files, contents_digest
from onyxpass.sources.index import ServerIndex
from onyxpass.sources.interface import MemberRegistry
from onyxpass.sources.membership_view import EMPTY_VIEW, MembershipView, ViewDifference, compare
from onyxpass.sources.schema import ParsedFiles, SourcesFile
from onyxpass.sources.validation import Accepted, Rejected, Unchanged, ValidationResult, validate
from onyxpass.sources.watcher import FileWatcher, read_all
from onyxpass.sources.weight_ramp import WeightRamp

REASONS_SHOWN = 8
NO_FILES = ParsedFiles((), frozenset(), ())
log = structlog.get_logger("sources")


@dataclass(frozen=True, slots=True)
class SourcesConfig:
    """Our own file, read and checked; paths start from its folder."""

    file: SourcesFile
    base: Path

    @property
    def paths(self) -> list[Path]:
        return [self.base / name for name in self.file.watch]

    @property
    def snapshot(self) -> Path | None:
        return self.base / self.file.snapshot if self.file.snapshot else None

    @property
    def sole_source(self) -> bool:
        return self.file.mode == "only"


def load(path: Path) -> SourcesConfig:
    """ConfigError with file, line and reason where it is no use."""
    return SourcesConfig(toml_config.read(SourcesFile, path), path.parent)


class FileSource:
    """``loopback_only``: addresses must lie on this machine. ``ready`` once a view is in force."""

    def __init__(
        self,
        core: RequestDispatcher,
        members: MemberRegistry,
        sources: SourcesConfig,
        loopback_only: bool = False,
        reapply_overlay: Callable[[], None] = lambda: None,
    ) -> None:
        self.core, self.members, self.sources, self.loopback_only = (
            core,
            members,
            sources,
            loopback_only,
        )
        self.reapply_overlay = (
            reapply_overlay  # mode "over": have the other source's list told anew
        )
        self.view: MembershipView = EMPTY_VIEW
        self.last: MembershipView = EMPTY_VIEW  # of the process before this one
        self.index = ServerIndex(core.endpoints.roles)
        self.settle = Debouncer(sources.file.settle_s, sources.file.leave_s)
        self.ramp = WeightRamp(sources.file.ramp_s)
        self.watcher = FileWatcher(sources.paths, sources.file.poll_s)
        self._draft: tuple[bytes, ParsedFiles] = (
            b"",
            NO_FILES,
        )  # of the contents that were read last
        self.accepted = self.refused = 0
        self.from_snapshot = False
        self.on_view: Callable[[MembershipView], None] = lambda _: None

    @property
    def ready(self) -> bool:
        return self.view.number > 0 or not self.sources.sole_source

    async def follow(self) -> None:
        """Never ends."""
        telling = asyncio.create_task(self.watcher.listen())
        stepping = asyncio.create_task(self._ramp())
        try:
            await self._look_on()
        finally:
            telling.cancel()
            stepping.cancel()

    async def _look_on(self) -> None:
        self.last = await asyncio.to_thread(self._load)
        first = True
        async for _ in self.watcher.looks():
            wait_s: float | None = 0.0
            while wait_s is not None:
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                wait_s = await self.poll(first)
            if first and not self.view.number and self.sources.sole_source:
                await self._from_snapshot()
            first = False

    async def poll(self, at_once: bool = False) -> float | None:
        """Read the files: seconds until they are to be read again, None if nothing is new.

        Reading, checking and comparing take seconds where servers are many, so a thread does that;
        nothing of what is in force is touched there.
        """
        files, contents = await asyncio.to_thread(self._read)
        if contents == self.settle.judged:
            return self.settle.look(contents, time.monotonic(), False)
        if contents != self._draft[0]:
            self._draft = contents, await asyncio.to_thread(self._draft_of, files)
        draft = self._draft[1]
        loses = bool(self.view.entries.keys() - {entry.server.id for entry in draft.entries})
        wait_s = self.settle.look(contents, time.monotonic(), loses)
        if wait_s is None or (wait_s > 0 and not at_once):
            return wait_s
        self.settle.done(contents)
        old = self.view if self.view.number else self.last
        verdict = await asyncio.to_thread(self._judged, old, draft)
        self._draft = b"", NO_FILES
        if isinstance(verdict, Accepted):
            first = (
                compare({}, verdict.view.entries) if old is not self.view else verdict.difference
            )
            await self._accept(verdict.view, first)
        elif isinstance(verdict, Unchanged) and not self.view.number:
            await self._accept(self.last, compare({}, self.last.entries), keep=False)
        elif isinstance(verdict, Rejected):
            self._refuse(verdict)
        return None

    def _read(self) -> tuple[Files, bytes]:
        files = read_all(self.sources.paths)
        return files, contents_digest(files)

    def _draft_of(self, files: Files) -> ParsedFiles:
        return schema.parse_files(
            files, list(self.core.endpoints.roles), self.sources.sole_source, self.loopback_only
        )

    def _judged(self, view: MembershipView, draft: ParsedFiles) -> ValidationResult:
        now_us, guards = self.core.clock.now_us(), self.sources.file.guards
        return validate(
            view, draft, self.core.endpoints.roles, guards, now_us, self.sources.sole_source
        )

    def _refuse(self, verdict: Rejected) -> None:
        self.refused += 1
        shown, more = verdict.reasons[:REASONS_SHOWN], len(verdict.reasons) - REASONS_SHOWN
        log.error("refused", view=self.view.number, why=list(shown), more=max(0, more))

    def _load(self) -> MembershipView:
        """The last good view of the process before this one; an empty one where there is none of
        use.

        The first files are judged against it as later ones are against the view in force: a restart
        makes nobody warm, gives no second number to one view, and lets no file through that is cut
        off.
        """
        path = self.sources.snapshot
        if path is None or not path.exists():
            return EMPTY_VIEW
        try:
            view = snapshot.load(path)
        except snapshot.SnapshotError as problem:
            log.error("snapshot_unusable", path=str(path), why=str(problem))
            return EMPTY_VIEW
        unknown = {entry.server.kind for entry in view.entries.values()} - set(
            self.core.endpoints.roles
        )
        if unknown and self.sources.sole_source:
            log.error(
                "snapshot_unusable", path=str(path), why=f"kinds not known: {sorted(unknown)}"
            )
            return EMPTY_VIEW
        return view

    async def _from_snapshot(self) -> None:
        """Guards against a start that has nothing to serve with since a file is broken just now."""
        if not self.last.number:
            log.error("no_view_in_force")
            return
        self.from_snapshot = True
        path = str(self.sources.snapshot)
        log.error("serving_from_snapshot", path=path, view=self.last.number)
        await self._accept(self.last, compare({}, self.last.entries), keep=False)

    async def _accept(
        self, view: MembershipView, difference: ViewDifference, keep: bool = True
    ) -> None:
        if keep:
            self.from_snapshot = False
        old, self.view = self.view, view
        self.accepted += 1
        # otherwise there is nothing to index: who is there, another source says
        if self.sources.sole_source:
            self.index.apply(difference, view.entries)
        weights = {name: entry.server.weight for name, entry in view.entries.items()}
        fresh = {*difference.added, *difference.moved}
        self.ramp.aim(weights, fresh, time.monotonic())
        if self.sources.sole_source:
            self._tell(old, view, difference)
        else:
            self.reapply_overlay()
        told = {name: len(names) for name, names in difference.told().items()}
        log.info("view", number=view.number, servers=len(view.entries), digest=view.digest, **told)
        self.on_view(view)
        if keep and (path := self.sources.snapshot) is not None:
            try:
                await asyncio.to_thread(snapshot.save, path, view)
            except OSError as problem:  # in force all the same: it only won't outlive the process
                log.error("snapshot_not_saved", path=str(path), why=str(problem))

    def _tell(self, old: MembershipView, view: MembershipView, difference: ViewDifference) -> None:
        """The whole view in one event, or what differs; nothing is awaited in between."""
        for name in difference.removed:
            address = old.entries[name].address
            if address is not None:
                self.members.update_member(old.entries[name].server, address, True)
        for name in (*difference.added, *difference.moved, *difference.changed):
            address = view.entries[name].address
            if address is not None:
                self.members.update_member(view.entries[name].server, address, False)
        gone = [
            replace(old.entries[name].server, condition=contract.EndpointCondition.REMOVED)
            for name in difference.removed
        ]
        changed = (*difference.added, *difference.moved, *difference.weighed, *difference.changed)
        now = [self._weighed(view.entries[name].server) for name in changed]
        self.core.endpoints.view_number = view.number
        form_ = (
            contract.EndpointUpdateForm.DELTA
            if old.number
            else contract.EndpointUpdateForm.COMPLETE
        )
        self.core.update_endpoints(contract.EndpointUpdate(form_, (*gone, *now), view.number))

    def _weighed(self, server: contract.Endpoint) -> contract.Endpoint:
        return replace(server, weight=self.ramp.now.get(server.id, server.weight))

    async def _ramp(self) -> None:
        """Tell weights on their way, for as long as some are."""
        while True:
            await asyncio.sleep(min(1.0, self.ramp.next_s or 0.2))
            changed = self.ramp.step(time.monotonic())
            if not changed:
                continue
            if not self.sources.sole_source:
                self.reapply_overlay()
                continue
            servers = tuple(self._weighed(self.view.entries[name].server) for name in changed)
            self.core.update_endpoints(
                contract.EndpointUpdate(
                    contract.EndpointUpdateForm.DELTA, servers, self.view.number
                )
            )

    def apply_overlay(self, update: contract.EndpointUpdate) -> contract.EndpointUpdate:
        """Mode "over": what another source tells, with the weights and drains of the files."""
        return replace(
            update, endpoints=tuple(self._overlaid(server) for server in update.endpoints)
        )

    def _overlaid(self, server: contract.Endpoint) -> contract.Endpoint:
        entry = self.view.entries.get(server.id)
        if entry is None:
            return server
        drains = entry.server.condition is not contract.EndpointCondition.UP
        up = server.condition is contract.EndpointCondition.UP
        condition = contract.EndpointCondition.DRAINING if drains and up else server.condition
        return replace(server, weight=self.ramp.now.get(server.id, 1.0), condition=condition)

    def status(self) -> Mapping[str, object]:
        """For operators: the view in force, and what became of the versions seen."""
        return {
            "view": self.view.number,
            "digest": self.view.digest,
            "servers": len(self.view.entries),
            "taking_work": {role.value: self.index.count(role) for role in self.index.by_role},
            "accepted": self.accepted,
            "refused": self.refused,
            "from_snapshot": self.from_snapshot,
            "notified": self.watcher.notified,
        }
