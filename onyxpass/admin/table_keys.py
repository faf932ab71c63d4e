"""The keys of a configuration's flat table that differ from the field names in the code.

The digest of the table is compared between processes of different versions and stored by agents, so
the keys stay the same when a field is renamed.
"""

from collections.abc import Mapping
from dataclasses import fields
from typing import Any

CLASS_KEYS: Mapping[str, str] = {
    "latency_objective_us": "aim_us",
    "priority_weight": "value",
    "late_weight": "late_worth",
    "idempotency": "repeat",
    "deduplication_scope": "scope",
    "deduplication_window_us": "window_us",
    "latency_objective_us_per_1k_tokens": "aim_per_k_us",
    "token_objective_us": "token_us",
}
SETTINGS_KEYS: Mapping[str, str] = {
    "load_report_mode": "reports",
    "watch_endpoints": "subscribe",
    "poll_within_us": "ask_within_us",
    "health_checks_allowed": "may_probe",
    "health_check_cost": "probe_price",
    "cancellation_allowed": "may_cancel",
    "hedging_allowed": "second_copies",
    "retry_after_supported": "retry_after",
    "decode_servers_prefill": "writers_read",
    "slow_start_initial_factor": "cold_from",
    "slow_start_duration_us": "cold_us",
    "overload_multiple": "fall_multiple",
    "overload_window_us": "fall_us",
    "over_quota_weight": "over_share_worth",
}


def keyed_fields(record: Any, keys: Mapping[str, str]) -> dict[str, str]:
    """Map each key of a settings record to its field name."""
    return {keys.get(field.name, field.name): field.name for field in fields(record)}
