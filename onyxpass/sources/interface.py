"""Protocols of membership: a source of servers, and the receiver of their addresses."""

from typing import Protocol

from onyxpass.config.platform_file import Address
from onyxpass.scheduling import contract


class MembershipSource(Protocol):
    """Keeps the list of servers of the core and the fleet up to date.

    Discovery is one source, watched files are another.
    """

    @property
    def ready(self) -> bool:
        """Whether there is a complete list of servers."""

    async def follow(self) -> None:
        """Keep the list up to date; does not return."""


class MemberRegistry(Protocol):
    """Keeps the addresses of the servers."""

    def update_member(self, server: contract.Endpoint, address: Address, left: bool) -> None:
        """Set the address of a server; ``left`` means that it was removed from the list."""
