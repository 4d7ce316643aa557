"""Names on the platform's wire: headers and paths."""

from __future__ import annotations

SETTINGS_VARIABLE = "SPRINGROCK_BOOT"
"""The environment variable that names the settings file."""

REQUEST_ID = "Springrock-Request-Id"
DEADLINE_MS = "Springrock-Deadline-Ms"
EXPECT_INSTANCE = "Springrock-Expect-Instance"
EXPECT_VERSION = "Springrock-Expect-Version"
NOT_EXECUTED = "Springrock-Not-Executed"
MODEL = "Springrock-Model"
TOKEN_COUNT = "Springrock-Token-Count"
PRIORITY = "Springrock-Request-Priority"
PROMPT_PARTS = "Springrock-Prompt-Prefix"
"""All parts of the prompt in order, the request's own last part included."""

API_KEY = "Api-Key"
"""A client's key, and nothing else; no replica gets it."""

TEAM = "Springrock-Tenant"

HOLD = "Springrock-Hold"
PIN_MS = "Springrock-Pin-Ms"
MEMORY_BACKUP = "Springrock-Kv-Backup"
MEMORY_FROM = "Kv-From"
MEMORY_FETCH = "Kv-Fetch"
LAST_EVENT_ID = "Last-Event-Id"
INSTANCE_ID = "Springrock-Instance-Id"

LEAVING = "Server-Leaving"
"""Set to 1 on all answers of a replica that leaves."""

LIMIT = "Server-Limit"
"""Requests a second, a decimal number, on all answers of a replica that takes no more than so many
from all boxes together."""

WORD_PREFIX = "Server-"
"""So begin the headers in which replicas tell of themselves, those to come as well."""

REPORT_PATH = "/v1/report"
ORDER_PATH = "/v1/order"
READINESS_PATH = "/v1/readiness"

ROWS_GET_PATH = "/v1/rows-get"
ROWS_FEED_PATH = "/v1/rows-feed"
ROWS_TX_PATH = "/v1/rows-tx"

ERA_HEADER = "Store-Era"
"""In all answers of the store: how often it has come back from a copy."""

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
VERSION_KEY_PREFIX = "version/"
EVACUATION_KEY_PREFIX = "evacuate/"
REPLICA_TABLE = "servers"
