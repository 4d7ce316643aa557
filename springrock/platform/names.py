"""Names in the platform's protocol: headers, paths, tables and keys."""

from __future__ import annotations

SETTINGS_VARIABLE = "SPRINGROCK_BOOT"
"""The environment variable that names the settings file."""

REQUEST_ID = "Springrock-Request-Id"
DEADLINE_MS = "Springrock-Deadline-Ms"
EXPECT_INSTANCE = "Springrock-Expect-Instance"
EXPECT_VERSION = "Springrock-Expect-Version"
SEAL = "Springrock-Response-Seal"
"""On every answer of a replica that ran the request."""

NOT_EXECUTED = "Springrock-Not-Executed"
MODEL = "Springrock-Model"
TOKEN_COUNT = "Springrock-Token-Count"
PRIORITY = "Springrock-Request-Priority"
PROMPT_PARTS = "Springrock-Prompt-Prefix"
"""All parts of the prompt in order, including the last part, which only this request has."""

API_KEY = "Api-Key"
"""The client's key, without a scheme before it; never forwarded to a replica."""

TEAM = "Springrock-Tenant"

HOLD = "Springrock-Hold"
PIN_MS = "Springrock-Pin-Ms"
KV_BACKUP = "Springrock-Kv-Backup"
KV_FROM = "Kv-From"
KV_FETCH = "Kv-Fetch"
LAST_EVENT_ID = "Last-Event-Id"

RESUMES = "Resumes"
"""On a request that takes a stream up: the id of the request that brought its first event."""

PASSED_ON = "Springrock-Passed-On"
"""Set on a request that a box passes on to another one, which passes it on to none. On the reply:
whether the other box handled the request."""

PASSED_ON_HANDLED = "handled"
PASSED_ON_BEHIND = "behind"
"""The other box did not handle the request, as it knows an older configuration or adapter."""

PASSED_ON_AUTHORITY = "passed-on.invalid"
"""The `Host` of a request that is passed on. Boxes of earlier builds, which do not compare
configurations, find no route for it and answer 404."""

PASSED_ON_HOST = "Springrock-Passed-On-Host"
"""On a request that is passed on: the `Host` that the client sent."""

CONFIGURATION = "Springrock-Configuration"
"""The version of the configuration that a box goes by: on a request that is passed on that of the
first box, on the reply that of the other one."""

INSTANCE_ID = "Springrock-Instance-Id"

LEAVING = "Server-Leaving"
"""Set to 1 on all answers of a replica that is shutting down."""

LIMIT = "Server-Limit"
"""On all answers of a replica with a rate limit: the requests a second that it accepts from all
boxes together, as a decimal number."""

BRITTLE = "Server-Brittle"
"""On all answers of a replica that is brittle: how many requests it may turn away for want of room
in a second, from all boxes together, without falling over; a decimal number."""

NOTICE_PREFIX = "Server-"
"""Prefix of all headers with notices from replicas, including those of later protocol versions."""

REPORT_PATH = "/v1/report"
ORDER_PATH = "/v1/order"
READINESS_PATH = "/v1/readiness"

ROWS_GET_PATH = "/v1/rows-get"
ROWS_FEED_PATH = "/v1/rows-feed"
ROWS_TX_PATH = "/v1/rows-tx"

ERA_HEADER = "Store-Era"
"""In all answers of the store: how often it has been restored from a copy."""

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
VERSION_KEY_PREFIX = "version/"
EVACUATION_KEY_PREFIX = "evacuate/"
REPLICA_TABLE = "servers"
