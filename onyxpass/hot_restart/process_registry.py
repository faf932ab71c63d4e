"""This process's view of all processes of its dispatcher, through a folder in ``$TMPDIR``.

``ProcessRegistry`` owns the view of the other processes, this process's file, its copy of the
exclusions and its descriptor limit, and refreshes them 20 times a second, or once a second while it
is alone and the folder is unchanged. Without a folder no other process is visible, and all state is
in memory.
"""

import hashlib
from collections.abc import Callable
from pathlib import Path

import structlog

from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.hot_restart.descriptor_limits import descriptor_limit
from onyxpass.hot_restart.process_files import (
    OtherProcess,
    OwnProcessFile,
    ProcessStatus,
    running_processes,
)
from onyxpass.hot_restart.shared_exclusions import SharedExclusions

REFRESH_INTERVAL_US = 50_000
MAX_SKIPPED_REFRESHES = 20  # consecutive, while alone and the folder is unchanged
CONFIRMATION_INTERVAL_US = 5_000
CONFIRMATION_TIMEOUT_US = 400_000  # an operator's call must be answered within 1 s
log = structlog.get_logger("hot_restart")


class ProcessRegistry:
    """The registry of one process; calls ``on_descriptor_limit`` with each new limit."""

    def __init__(
        self, folder: Path | None, key: str, total_descriptors: int, wheel: TimerWheel
    ) -> None:
        """Share state with the processes of the same ``key``, in the folder of that key."""
        self.folder = _folder_of(key, folder) if folder is not None else None
        self.exclusions = SharedExclusions(self.folder, wheel)
        self.total_descriptors = total_descriptors
        self.descriptor_limit = total_descriptors
        self.on_descriptor_limit: Callable[[int], None] = lambda _: None
        self.others: list[OtherProcess] = []
        self.stopping = False
        self.name = ""  # name of this process's file; empty without one
        self._wheel = wheel
        self._own_file: OwnProcessFile | None = None
        self._folder_changed_ns = 0
        self._skipped_refreshes = 0

    def start(self) -> None:
        """Register this process, apply the saved state, and start periodic refreshes."""
        if self.folder is not None:
            try:
                self._own_file = OwnProcessFile.create(self.folder)
                self.name = self._own_file.path.name
            except OSError as error:  # an unusable folder must not prevent the start
                log.error("process_folder_unusable", folder=str(self.folder), error=str(error))
                self.folder = None
                self.exclusions.folder = None
        self.refresh()
        self._schedule_refresh()

    def end(self) -> None:
        """Unregister this process."""
        if self._own_file is not None:
            self._own_file.remove()
            self._own_file = None

    def resize(self, total_descriptors: int) -> None:
        """Change the descriptor limit of all processes of this dispatcher together."""
        self.total_descriptors = total_descriptors
        self.refresh()
        if self.folder is None:
            self.descriptor_limit = total_descriptors
            self.on_descriptor_limit(total_descriptors)

    def migration_socket(self) -> Path | None:
        """Return the path of the socket for streams migrated here; None without a folder."""
        return _migration_socket(self.folder, self.name) if self.folder is not None else None

    def successor_socket(self) -> Path | None:
        """Return the socket path of the youngest process after this one; None if there is none."""
        younger = [process.name for process in self.others if process.name > self.name]
        if self.folder is None or not younger:
            return None
        return _migration_socket(self.folder, max(younger))

    async def set_excluded(self, server: str, excluded: bool) -> bool:
        """Exclude a server or include it again, in this process in any case.

        True once that is saved and in force in every process.
        """
        if not await self.exclusions.change(server, excluded=excluded):
            return False
        if self.folder is None:
            return True
        self._publish()
        return await self._confirmed(self.folder)

    def refresh(self) -> None:
        """Read what other processes have published, apply it, and publish this process's status."""
        self._skipped_refreshes = 0
        if self.folder is None:
            return
        try:
            self.others = running_processes(self.folder, self.name, self.others)
            self.exclusions.refresh(self.folder)
        except OSError as error:
            log.warning("process_folder_unreadable", folder=str(self.folder), error=str(error))
        self._apply_descriptor_limit()
        self._publish()

    def _schedule_refresh(self) -> None:
        self._wheel.after(REFRESH_INTERVAL_US, self._refresh_if_changed)

    def _refresh_if_changed(self) -> None:
        try:
            if self._may_have_changed():
                self.refresh()
        finally:  # one failed refresh must not stop the later ones
            self._schedule_refresh()

    def _may_have_changed(self) -> bool:
        """Return False while this process is alone and its folder is unchanged.

        Avoids listing and reading files 20 times a second all day only for the case of a restart.
        """
        self._skipped_refreshes += 1
        if self.folder is None or self.others or self.stopping:
            return True
        if self._skipped_refreshes >= MAX_SKIPPED_REFRESHES:
            return True
        try:
            changed_ns = self.folder.stat().st_mtime_ns
        except OSError:
            return True
        if changed_ns == self._folder_changed_ns:
            return False
        self._folder_changed_ns = changed_ns
        return True

    def _apply_descriptor_limit(self) -> None:
        limit = descriptor_limit(
            self.total_descriptors,
            self.descriptor_limit,
            self.name,
            self.others,
            stopping=self.stopping,
        )
        if limit == self.descriptor_limit:
            return
        log.info("descriptor_limit_changed", limit=limit, processes=1 + len(self.others))
        self.descriptor_limit = limit
        self.on_descriptor_limit(limit)

    def _publish(self) -> None:
        if self._own_file is None:
            return
        try:
            status = ProcessStatus(self.exclusions.version, self.descriptor_limit)
            self._own_file.publish(status)
        except OSError as error:
            log.warning("process_status_not_published", error=str(error))

    async def _confirmed(self, folder: Path) -> bool:
        """Wait until every other process has this version in force; False after a timeout."""
        deadline_us = self._wheel.clock.now_us() + CONFIRMATION_TIMEOUT_US
        version = self.exclusions.version
        while True:
            self.others = running_processes(folder, self.name, self.others)
            if all(process.status.exclusions_version >= version for process in self.others):
                return True
            if self._wheel.clock.now_us() >= deadline_us:
                log.warning("exclusion_not_confirmed", version=version)
                return False
            await self._wheel.sleep(CONFIRMATION_INTERVAL_US)


def _folder_of(key: str, parent: Path) -> Path:
    digest = hashlib.blake2b(key.encode("utf-8", "surrogatepass"), digest_size=6).hexdigest()
    return parent / f"onyxpass-{digest}"


def _migration_socket(folder: Path, process_name: str) -> Path:
    return (folder / process_name).with_suffix(".heir")
