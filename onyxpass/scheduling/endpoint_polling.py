"""Endpoint polling: when the endpoint list is fetched or its watch is opened again."""

from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import EndpointUpdateForm


class EndpointPolling:
    """The schedule by which one router asks for the endpoint list."""

    def __init__(self) -> None:
        self._next_us = -1

    @property
    def is_scheduled(self) -> bool:
        """Whether the router has to keep its timer set for polling."""
        return self._next_us >= 0

    def after_update(
        self, form: EndpointUpdateForm, settings: contract.Settings, now_us: int
    ) -> list[contract.Action]:
        """Return the request for a new list after an update that failed or may be out of date."""
        if not settings.watch_endpoints:
            return []
        action: contract.Action
        if form is EndpointUpdateForm.PERSISTED:
            action = contract.WatchEndpoints()
        elif form is EndpointUpdateForm.FAILED:
            action = contract.FetchEndpoints()
        else:
            return []
        self._next_us = now_us + settings.poll_within_us // 4
        return [action]

    def due(self, settings: contract.Settings, now_us: int) -> list[contract.Action]:
        """Return the request for a new list if it is due."""
        if not 0 <= self._next_us <= now_us:
            return []
        self._next_us = now_us + settings.poll_within_us // 2
        return [contract.WatchEndpoints()]
