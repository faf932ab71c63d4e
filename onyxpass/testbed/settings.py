"""Configurations for trials: the operators' traffic classes over stand-in readers and writers."""

from typing import Any

from onyxpass.testbed.replicas import StandinFleet

SETTINGS: dict[str, Any] = {
    "az": "boa-vista",
    "hostTypes": ["reader", "writer"],
    "grades": [
        {
            "name": "part-lookup",
            "promiseUs": 1_200_000,
            "deadlineUs": 6_000_000,
            "value": 3.0,
            "lateWorth": 0.2,
            "repeat": "read_like",
        },
        {
            "name": "shift-summary",
            "promiseUs": 3_000_000,
            "deadlineUs": 15_000_000,
            "value": 3.0,
            "lateWorth": 0.2,
            "repeat": "read_like",
        },
        {
            "name": "stock-booking",
            "promiseUs": 1_500_000,
            "deadlineUs": 7_500_000,
            "value": 2.0,
            "lateWorth": 0.1,
            "repeat": "non_idempotent",
        },
    ],
    "extra": {
        "roleByKind": ["read", "write"],
        "tokensByKind": [240_000, 150_000],
        "tokenAimUs": [60_000, 80_000, 70_000],
        "aimUsPer1000PromptTokens": [40_000, 40_000, 40_000],
    },
    "limits": {
        "maxAttempts": 4,
        "cancelling": True,
        "retryAfter": True,
        "maxRetryAfterUs": 1_000_000,
        "connectTimeoutUs": 250_000,
        "connIdleUs": 15_000_000,
    },
}


def dispatcher_config(
    name: str, listen: str, fleet: StandinFleet, peers: int = 1
) -> dict[str, Any]:
    """Return the platform's configuration of one dispatcher in front of a stand-in fleet."""
    return {
        "name": name,
        "listen": listen,
        "discovery": fleet.discovery.address,
        "seed": "5eed",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {},
        "settings": {**SETTINGS, "peersTotal": peers},
    }
