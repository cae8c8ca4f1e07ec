"""Small deployments with the bounds of the users' sheets."""

from platform_stand_in import HOST

# Keys of one tenant.
KEY = "key-that-stays"
LOST_KEY = "key-that-is-taken-away"

COMMON_BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "grace-s": 8, "loss-slack-ms": 200, "downgrade-slack-ms": 250,
    "revoke-fail-closed": "true", "revoke-ms": 5000, "retry-budget-ratio": 0.2, "budget-window-s": 10,
    "reuse-window-s": 10, "quota-window-s": 4,
}


def config(timeout_ms, goal_ms, max_conns):
    """Returns a configuration with a route for bookings and one for lookups without a key, and one with."""
    route = {"host": HOST, "timeout-ms": timeout_ms, "goal-ms": goal_ms, "priority": 2, "service": "desk",
             "public": True}
    service = {"name": "desk", "health-path": "/healthz", "max-conns": max_conns, "protocol": "h1",
               "tls": False}
    return {
        "version": 7,
        "routes": [
            route | {"name": "book", "prefix": "/book/", "route-kind": "non_idempotent", "max-attempts": 1},
            route | {"name": "look", "prefix": "/look/", "route-kind": "idempotent", "max-attempts": 2},
            route | {"name": "keyed", "prefix": "/keyed/", "route-kind": "non_idempotent", "max-attempts": 1,
                     "public": False},
        ],
        "services": [service],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000, "tokens-per-s": 410000},
        "tenants": [{"name": "tenant", "api-keys": [KEY, LOST_KEY], "priority": 1}],
    }


AFM_POMELO = {
    "memory-mb": 260,
    "max-fds": 4100,
    "zones": ["fes-a", "meknes-b", "tanger-c"],
    "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                  "platform"],
    "bounds": COMMON_BOUNDS | {
        "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "config-apply-ms": 2000,
        "max-stretch-ms": 5000, "retry-budget-slack": 54, "recover-s": 12, "event-lag-ms": 120,
    },
    "config": config(1500, 150, 100),
}

KANMON_QUIZ_GROWN = {
    "memory-mb": 160,
    "max-fds": 4100,
    "zones": ["fukuoka-a", "fukuoka-b", "kumamoto-c"],
    "contracts": ["base", "drain", "config", "cost", "retry", "recover", "health", "pool", "engine",
                  "stream", "tenants", "places", "pressure", "platform"],
    "bounds": COMMON_BOUNDS | {
        "contact-ms": 4000, "ack-ms": 6000, "catch-up-s": 6, "drain-ms": 3000, "config-apply-ms": 3000,
        "max-stretch-ms": 6000, "retry-budget-slack": 190, "cold-overshoot": 1.5, "cold-slack": 5,
        "evacuate-ms": 5000, "recover-s": 15, "event-lag-ms": 200,
    },
    "config": config(1500, 300, 510),
}

RMS_BRASOV_GROWN = {
    # Its smallest machines.
    "memory-mb": 120,
    "max-fds": 3075,
    "zones": ["bv-a", "bv-b", "bv-c"],
    "contracts": ["base", "drain", "config", "cost", "retry", "recover", "health", "pool", "engine",
                  "stream", "tenants", "places", "pressure", "platform"],
    "bounds": COMMON_BOUNDS | {
        "contact-ms": 4000, "ack-ms": 6000, "catch-up-s": 6, "drain-ms": 3000, "config-apply-ms": 3000,
        "max-stretch-ms": 6000, "retry-budget-slack": 190, "recover-s": 15, "event-lag-ms": 200,
    },
    "config": config(4000, 300, 510),
}
