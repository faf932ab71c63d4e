"""Settings of one instance in the form of the simulator's protocol, with an unknown key."""

WIRE_SETTINGS = {
    "az": "z0",
    "peersTotal": 2,
    "grades": [
        {
            "name": "a",
            "promiseUs": 1500000,
            "deadlineUs": 6000000,
            "value": 1.0,
            "repeat": "read_like",
            "group": "all",
        }
    ],
    "hostTypes": ["r", "w"],
    "extra": {"roleByKind": ["read", "write"], "tokensByKind": [200000, 150000], "news": 1},
    "limits": {"maxAttempts": 4, "cancelling": True},
    "stats": {"fields": ["x9", "x0"], "how": "inline"},
    "unheard-of": {"key": [1]},
}
