"""Reads a dispatcher's settings, whose keys are the same in the platform's JSON and in TOML files.

This module maps the platform's keys to the names in ``scheduling.contract``. It expects settings
without fatal faults (see ``settings_validation``) and ignores unknown keys.
"""

from collections.abc import Mapping, Sequence
from typing import Any

from onyxpass.scheduling import contract

ROLE_OF_KEY = {
    "read": contract.Role.PREFILL,
    "write": contract.Role.DECODE,
    "both": contract.Role.MIXED,
}
IDEMPOTENCY_OF_KEY = {
    "read_like": contract.Idempotency.IDEMPOTENT,
    "idempotency_key": contract.Idempotency.KEYED,
    "non_idempotent": contract.Idempotency.NONE,
}
LOAD_REPORT_MODE_OF_KEY = {
    "inline": contract.LoadReportMode.INLINE,
    "on_probe": contract.LoadReportMode.ON_HEALTH_CHECK,
    "off": contract.LoadReportMode.NONE,
}
SCOPES = tuple(scope.value for scope in contract.DeduplicationScope)
DEFAULTS = contract.Settings(classes=(), kinds=())
Table = Mapping[str, Any]


def read_settings(table: Table) -> contract.Settings:
    """Read one ``settings`` object, with defaults for absent keys.

    Raises ValueError, TypeError, KeyError or AttributeError if a value has the wrong type.
    """
    extra = table.get("extra") or {}
    limits = table.get("limits") or {}
    rules = table.get("rules") or {}
    goal = table.get("goal") or {}
    return contract.Settings(
        classes=_read_classes(table.get("grades") or [], extra),
        kinds=_read_kinds(table.get("hostTypes") or [], extra),
        tenants=_read_tenants(table.get("accounts") or []),
        zone=str(table.get("az") or ""),
        ordinal=_integer(table, "ordinal", DEFAULTS.ordinal),
        routers=max(1, _integer(table, "peersTotal", DEFAULTS.routers)),
        load_report_mode=_load_report_mode(table),
        watch_endpoints=table.get("membershipMode") == "subscribe",
        poll_within_us=_integer(rules, "askWithinUs", DEFAULTS.poll_within_us),
        health_checks_allowed=bool(limits.get("mayProbe")),
        health_check_cost=float((table.get("prices") or {}).get("probe") or 0.0),
        cancellation_allowed=bool(limits.get("cancelling")),
        hedging_allowed=bool(limits.get("secondCopies")),
        retry_after_supported=bool(limits.get("retryAfter")),
        max_retry_after_us=_integer(limits, "maxRetryAfterUs", DEFAULTS.max_retry_after_us),
        max_attempts=_integer(limits, "maxAttempts", DEFAULTS.max_attempts),
        decode_servers_prefill=bool(extra.get("selfPrefill")),
        release_within_us=_integer(extra, "releaseWithinUs", DEFAULTS.release_within_us),
        drain_grace_us=_integer(rules, "drainGraceUs", DEFAULTS.drain_grace_us),
        answer_grace_us=_integer(rules, "graceToAnswerUs", DEFAULTS.answer_grace_us),
        slow_start_initial_factor=float(
            rules.get("coldFrom") or DEFAULTS.slow_start_initial_factor
        ),
        slow_start_duration_us=_integer(rules, "coldUs", DEFAULTS.slow_start_duration_us),
        overload_multiple=float(rules.get("tipMultiple") or DEFAULTS.overload_multiple),
        overload_window_us=_integer(rules, "fallUs", DEFAULTS.overload_window_us),
        over_quota_weight=float(table.get("overShareWorth", 1.0) or 0.0),
        worst_class_weight=float(goal.get("worstClass") or 0.0),
        worst_tenant_weight=float(goal.get("worstTenant") or 0.0),
        worst_window_weight=float(goal.get("worstWindow") or 0.0),
        tick_us=_integer(table, "tickUs", DEFAULTS.tick_us),
    )


def _integer(table: Table, key: str, default: int) -> int:
    value = table.get(key)
    return default if value is None else int(value)


def _load_report_mode(table: Table) -> contract.LoadReportMode:
    key = str((table.get("stats") or {}).get("how"))
    return LOAD_REPORT_MODE_OF_KEY.get(key, contract.LoadReportMode.NONE)


def _read_classes(tables: Sequence[Any], extra: Table) -> tuple[contract.TrafficClass, ...]:
    prompt_objectives_us = extra.get("aimUsPer1000PromptTokens") or []
    token_objectives_us = extra.get("tokenAimUs") or []
    return tuple(
        _read_class(
            table, _integer_at(prompt_objectives_us, i), _integer_at(token_objectives_us, i)
        )
        for i, table in enumerate(tables)
    )


def _integer_at(values: Sequence[Any], index: int) -> int:
    return int(values[index]) if index < len(values) else 0


def _read_class(
    table: Table, prompt_objective_us: int, token_objective_us: int
) -> contract.TrafficClass:
    """Read one class; an unknown ``repeat`` or ``group`` is read as the strictest value."""
    scope = contract.DeduplicationScope.CELL
    if table.get("group") in SCOPES:
        scope = contract.DeduplicationScope(table["group"])
    return contract.TrafficClass(
        name=str(table["name"]),
        latency_objective_us=int(table["promiseUs"]),
        deadline_us=int(table["deadlineUs"]),
        priority_weight=float(table.get("value", 1.0)),
        late_weight=float(table.get("lateWorth") or 0.0),
        idempotency=IDEMPOTENCY_OF_KEY.get(str(table.get("repeat")), contract.Idempotency.NONE),
        deduplication_scope=scope,
        deduplication_window_us=int(table.get("windowUs") or 0),
        latency_objective_us_per_1k_tokens=prompt_objective_us,
        token_objective_us=token_objective_us,
    )


def _read_kinds(names: Sequence[Any], extra: Table) -> tuple[contract.ServerKind, ...]:
    roles = extra.get("roleByKind") or []
    memory = extra.get("tokensByKind") or []
    return tuple(
        contract.ServerKind(
            name=str(name),
            role=_role_at(roles, i),
            memory_tokens=_integer_at(memory, i),
        )
        for i, name in enumerate(names)
    )


def _role_at(roles: Sequence[Any], index: int) -> contract.Role:
    if index >= len(roles):
        return contract.Role.MIXED
    return ROLE_OF_KEY.get(str(roles[index]), contract.Role.MIXED)


def _read_tenants(tables: Sequence[Any]) -> tuple[contract.Tenant, ...]:
    return tuple(
        contract.Tenant(str(table["name"]), float(table.get("quotaPerS") or 0.0))
        for table in tables
    )
