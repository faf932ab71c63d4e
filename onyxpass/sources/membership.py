"""The membership source of watched files: reads and validates them, and applies complete views.

The core gets a view as one endpoint update with the view's number; the fleet gets the addresses in
the same turn of the event loop. A rejected version changes nothing and is logged once, with at most
``REASONS_SHOWN`` reasons.
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

REASONS_SHOWN = 8  # reasons in one log line
NO_FILES = ParsedFiles((), frozenset(), ())
log = structlog.get_logger("sources")


@dataclass(frozen=True, slots=True)
class SourcesConfig:
    """The validated sources file; its paths are relative to its folder."""

    file: SourcesFile
    folder: Path

    @property
    def paths(self) -> list[Path]:
        return [self.folder / name for name in self.file.watch]

    @property
    def snapshot(self) -> Path | None:
        return self.folder / self.file.snapshot if self.file.snapshot else None

    @property
    def sole_source(self) -> bool:
        return self.file.mode == "only"


def load(path: Path) -> SourcesConfig:
    """Read the sources file; ConfigError with file, line and reason if it is invalid."""
    return SourcesConfig(toml_config.read(SourcesFile, path), path.parent)


class FileSource:
    """Applies the servers of watched files to the core and the fleet.

    ``loopback_only``: only loopback addresses are allowed.
    """

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
        self.reapply_overlay = reapply_overlay  # mode "over": applies the other source's list again
        self.view: MembershipView = EMPTY_VIEW
        self.previous_view: MembershipView = EMPTY_VIEW  # of the previous process
        self.index = ServerIndex(core.endpoints.roles)
        self.debouncer = Debouncer(sources.file.settle_s, sources.file.leave_s)
        self.ramp = WeightRamp(sources.file.ramp_s)
        self.watcher = FileWatcher(sources.paths, sources.file.poll_s)
        # The files that were parsed last, with the digest of their contents.
        self._parsed: tuple[bytes, ParsedFiles] = b"", NO_FILES
        self.accepted = self.refused = 0
        self.from_snapshot = False
        self.on_view: Callable[[MembershipView], None] = lambda _: None

    @property
    def ready(self) -> bool:
        """Whether a view is in force; always true in mode "over"."""
        return self.view.number > 0 or not self.sources.sole_source

    async def follow(self) -> None:
        """Watch the files and apply their changes; does not return."""
        listener = asyncio.create_task(self.watcher.listen())
        ramp_task = asyncio.create_task(self._run_ramp())
        try:
            await self._poll_files()
        finally:
            listener.cancel()
            ramp_task.cancel()

    async def _poll_files(self) -> None:
        self.previous_view = await asyncio.to_thread(self._load_snapshot)
        first = True
        async for _ in self.watcher.changes():
            wait_s: float | None = 0.0
            while wait_s is not None:
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                wait_s = await self.poll(first)
            if first and not self.view.number and self.sources.sole_source:
                await self._serve_snapshot()
            first = False

    async def poll(self, at_once: bool = False) -> float | None:
        """Read the files, and validate and apply them once they are due.

        Returns the seconds until the files have to be read again, or None if nothing is pending.
        ``at_once`` skips the settling period. Reading, checking and comparing take seconds for many
        servers, so they run in a thread, which does not modify the view in force.
        """
        files, contents = await asyncio.to_thread(self._read)
        if contents == self.debouncer.validated:
            return self.debouncer.seconds_until_due(contents, time.monotonic(), False)
        if contents != self._parsed[0]:
            self._parsed = contents, await asyncio.to_thread(self._parse, files)
        parsed = self._parsed[1]
        removes_servers = bool(
            self.view.entries.keys() - {entry.server.id for entry in parsed.entries}
        )
        wait_s = self.debouncer.seconds_until_due(contents, time.monotonic(), removes_servers)
        if wait_s is None or (wait_s > 0 and not at_once):
            return wait_s
        self.debouncer.mark_validated(contents)
        old = self.view if self.view.number else self.previous_view
        result = await asyncio.to_thread(self._validate, old, parsed)
        self._parsed = b"", NO_FILES
        if isinstance(result, Accepted):
            difference = (
                compare({}, result.view.entries) if old is not self.view else result.difference
            )
            await self._accept(result.view, difference)
        elif isinstance(result, Unchanged) and not self.view.number:
            await self._accept(
                self.previous_view, compare({}, self.previous_view.entries), save=False
            )
        elif isinstance(result, Rejected):
            self._reject(result)
        return None

    def _read(self) -> tuple[Files, bytes]:
        files = read_all(self.sources.paths)
        return files, contents_digest(files)

    def _parse(self, files: Files) -> ParsedFiles:
        return schema.parse_files(
            files,
            list(self.core.endpoints.roles),
            self.sources.sole_source,
            self.loopback_only,
            self.sources.file.require_end,
        )

    def _validate(self, view: MembershipView, parsed: ParsedFiles) -> ValidationResult:
        now_us, guards = self.core.clock.now_us(), self.sources.file.guards
        return validate(
            view, parsed, self.core.endpoints.roles, guards, now_us, self.sources.sole_source
        )

    def _reject(self, result: Rejected) -> None:
        self.refused += 1
        shown, more = result.reasons[:REASONS_SHOWN], len(result.reasons) - REASONS_SHOWN
        log.error("refused", view=self.view.number, why=list(shown), more=max(0, more))

    def _load_snapshot(self) -> MembershipView:
        """Load the last accepted view of the previous process; an empty view if none is usable.

        The first files are validated against it as later ones are against the view in force: after
        a restart recent servers still count as cold, an unchanged view keeps its number, and the
        guards still reject a truncated file.
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
            log.error("snapshot_unusable", path=str(path), why=f"unknown kinds: {sorted(unknown)}")
            return EMPTY_VIEW
        return view

    async def _serve_snapshot(self) -> None:
        """Serve from the snapshot, so that a start with invalid files still has servers."""
        if not self.previous_view.number:
            log.error("no_view_in_force")
            return
        self.from_snapshot = True
        path = str(self.sources.snapshot)
        log.error("serving_from_snapshot", path=path, view=self.previous_view.number)
        await self._accept(self.previous_view, compare({}, self.previous_view.entries), save=False)

    async def _accept(
        self, view: MembershipView, difference: ViewDifference, save: bool = True
    ) -> None:
        if save:
            self.from_snapshot = False
        old, self.view = self.view, view
        self.accepted += 1
        # In mode "over" there is nothing to index: another source lists the servers.
        if self.sources.sole_source:
            self.index.apply(difference, view.entries)
        weights = {name: entry.server.weight for name, entry in view.entries.items()}
        new_servers = {*difference.added, *difference.moved}
        self.ramp.set_targets(weights, new_servers, time.monotonic())
        if self.sources.sole_source:
            self._publish(old, view, difference)
        else:
            self.reapply_overlay()
        counts = {name: len(names) for name, names in difference.to_dict().items()}
        log.info(
            "view", number=view.number, servers=len(view.entries), digest=view.digest, **counts
        )
        self.on_view(view)
        if save and (path := self.sources.snapshot) is not None:
            try:
                await asyncio.to_thread(snapshot.save, path, view)
            except OSError as problem:  # the view stays in force; a restart may load an older one
                log.error("snapshot_not_saved", path=str(path), why=str(problem))

    def _publish(
        self, old: MembershipView, view: MembershipView, difference: ViewDifference
    ) -> None:
        """Publish the complete view, or its difference, in one update and without an await."""
        for name in difference.removed:
            address = old.entries[name].address
            if address is not None:
                self.members.update_member(old.entries[name].server, address, True)
        for name in (*difference.added, *difference.moved, *difference.changed):
            address = view.entries[name].address
            if address is not None:
                self.members.update_member(view.entries[name].server, address, False)
        removed = [
            replace(old.entries[name].server, condition=contract.EndpointCondition.REMOVED)
            for name in difference.removed
        ]
        changed = (*difference.added, *difference.moved, *difference.weighed, *difference.changed)
        updated = [self._with_ramped_weight(view.entries[name].server) for name in changed]
        self.core.endpoints.view_number = view.number
        form = (
            contract.EndpointUpdateForm.DELTA
            if old.number
            else contract.EndpointUpdateForm.COMPLETE
        )
        self.core.update_endpoints(contract.EndpointUpdate(form, (*removed, *updated), view.number))

    def _with_ramped_weight(self, server: contract.Endpoint) -> contract.Endpoint:
        return replace(server, weight=self.ramp.current.get(server.id, server.weight))

    async def _run_ramp(self) -> None:
        """Publish the weights that are changing; does not return."""
        while True:
            await asyncio.sleep(min(1.0, self.ramp.step_interval_s or 0.2))
            changed = self.ramp.advance(time.monotonic())
            if not changed:
                continue
            if not self.sources.sole_source:
                self.reapply_overlay()
                continue
            servers = tuple(
                self._with_ramped_weight(self.view.entries[name].server) for name in changed
            )
            self.core.update_endpoints(
                contract.EndpointUpdate(
                    contract.EndpointUpdateForm.DELTA, servers, self.view.number
                )
            )

    def apply_overlay(self, update: contract.EndpointUpdate) -> contract.EndpointUpdate:
        """Apply the weights and drains of the files to another source's update (mode "over")."""
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
        return replace(server, weight=self.ramp.current.get(server.id, 1.0), condition=condition)

    def status(self) -> Mapping[str, object]:
        """Return the view in force and the counts of accepted and refused versions."""
        return {
            "view": self.view.number,
            "digest": self.view.digest,
            "servers": len(self.view.entries),
            "taking_work": {role.value: self.index.count(role) for role in self.index.by_role},
            "accepted": self.accepted,
            "refused": self.refused,
            "from_snapshot": self.from_snapshot,
            "notified": self.watcher.notifications_active,
        }
