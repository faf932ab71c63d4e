"""Health checks of ejected servers before their trial, and health checks for fresh load reports.

Each health check has a cost, so requests earn a budget for them. Each router owns one
``HealthChecks``.
"""

from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import LoadReportMode, Role
from onyxpass.scheduling.outlier_detection import EJECTION_US
from onyxpass.scheduling.server_pool import ServerPool
from onyxpass.scheduling.server_state import ServerState

MAX_COST_SHARE = 0.003  # of the value of the requests that health checks may cost
INITIAL_CREDIT = 1.0
MAX_CREDIT = 3.0
NEAREST_CHECKED = 2  # before a state is placed, besides the server checked longest ago


class HealthChecks:
    """The budget of health checks and the servers that are checked."""

    def __init__(self, pool: ServerPool) -> None:
        self._pool = pool
        self._credit = INITIAL_CREDIT

    def earn_credit(self) -> None:
        """Earn credit for a new request."""
        cost = self._pool.settings.health_check_cost
        self._credit = min(MAX_CREDIT, self._credit + MAX_COST_SHARE / max(MAX_COST_SHARE, cost))

    def before_placement(self, near: contract.Endpoint, now_us: int) -> list[contract.Action]:
        """Return health checks that get load reports of servers where a state may be placed.

        There are none unless health checks are the only source of load reports.
        """
        pool = self._pool
        settings = pool.settings
        if (
            not settings.health_checks_allowed
            or settings.load_report_mode is not LoadReportMode.ON_HEALTH_CHECK
        ):
            return []
        servers = pool.available[Role.DECODE] + pool.available[Role.MIXED]
        if not servers:
            return []
        by_age = sorted(
            servers, key=lambda server: (server.last_health_check_us, server.tie_breaker)
        )
        nearest = sorted(by_age, key=lambda server: server.distance(near))[:NEAREST_CHECKED]
        checks: list[contract.Action] = []
        for server in [*nearest, by_age[0]]:
            if self._credit >= 1 and server.last_health_check_us < now_us:
                self._credit -= 1
                server.last_health_check_us = now_us
                checks.append(contract.HealthCheck(server.id))
        return checks

    def awaiting_health_check(self) -> list[ServerState]:
        """Return the ejected servers that have passed no health check since their ejection."""
        return [
            server
            for server in self._pool.servers.values()
            if server.ejection_level and not server.health_check_passed
        ]

    def before_trials(self, servers: list[ServerState], now_us: int) -> list[contract.Action]:
        """Return health checks of those servers whose ejection time is over."""
        checks: list[contract.Action] = []
        if not self._pool.settings.health_checks_allowed:
            return checks
        for server in servers:
            if now_us >= server.ejected_until_us and self._credit >= 1:
                self._credit -= 1
                server.ejected_until_us = now_us + EJECTION_US  # ends earlier if the check passes
                checks.append(contract.HealthCheck(server.id))
        return checks
