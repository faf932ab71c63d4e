"""The port of membership: what a source of servers is, and whom it tells."""

from typing import Protocol

from onyxpass.config.platform_file import Address
from onyxpass.scheduling import contract


class MembershipSource(Protocol):
    """Discovery's watch is one, watched files are another. It tells the core (``listed``) and
    the fleet.
    """

    @property
    def ready(self) -> bool:
        """Whether there is a whole list to serve by."""

    async def follow(self) -> None:
        """Keep the list up to date; never ends."""


class MemberRegistry(Protocol):
    """The fleet, as a source sees it."""

    def update_member(self, server: contract.Endpoint, address: Address, left: bool) -> None:
        """Where a server listens; ``left``: it is on the list no more."""
