"""JSON schema of the settings file and its format checks."""

import ipaddress
from typing import Any, Final

from jsonschema import FormatChecker

from ..address import split_address

MIN_SECRET_CHARACTERS: Final = 16

ADDRESS: Final = {"type": "string", "format": "address"}
NAME: Final = {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"}
PATH: Final = {"type": "string", "minLength": 1}
SECRET: Final = {
    "oneOf": [
        {"type": "string", "minLength": MIN_SECRET_CHARACTERS},
        {
            "type": "object",
            "properties": {"file": PATH},
            "required": ["file"],
            "additionalProperties": False,
        },
    ]
}
TLS: Final = {
    "type": "object",
    "properties": {"cert": PATH, "key": PATH, "ca": PATH},
    "required": ["cert", "key", "ca"],
    "additionalProperties": False,
}
LIMITS: Final = {
    "type": "object",
    "properties": {
        "body_bytes": {"type": "integer", "minimum": 1024, "maximum": 16777216},
        "admin_body_bytes": {
            "type": "integer",
            "minimum": 1024,
            "maximum": 67108864,
        },
        "header_bytes": {"type": "integer", "minimum": 1024, "maximum": 65536},
        "keepalive_s": {"type": "integer", "minimum": 1, "maximum": 3600},
        "shutdown_s": {"type": "integer", "minimum": 1, "maximum": 600},
    },
    "additionalProperties": False,
}
SETTINGS: Final[dict[str, Any]] = {
    "$schema": "https://json-schema.org/draft/2020-12/schema",
    "type": "object",
    "properties": {
        "host": NAME,
        "zone": NAME,
        "listen": ADDRESS,
        "peer_listen": ADDRESS,
        "admin_listen": ADDRESS,
        "store": ADDRESS,
        "hostlist": ADDRESS,
        "seeds": {"type": "array", "items": ADDRESS, "uniqueItems": True},
        "peer_credential": SECRET,
        "token_secret": SECRET,
        "former_token_secrets": {"type": "array", "items": SECRET},
        "admins": {
            "type": "object",
            "minProperties": 1,
            "propertyNames": NAME,
            "additionalProperties": {"type": "string", "pattern": "^[0-9a-f]{64}$"},
        },
        "statsd": ADDRESS,
        "log_level": {"enum": ["debug", "info", "notice", "warning", "error"]},
        "tls": TLS,
        "limits": LIMITS,
    },
    "required": [
        "host",
        "zone",
        "listen",
        "peer_listen",
        "admin_listen",
        "store",
        "hostlist",
        "peer_credential",
        "token_secret",
        "admins",
    ],
    "additionalProperties": False,
}

FORMATS: Final = FormatChecker(formats=())


@FORMATS.checks("address", raises=ValueError)
def check_address(value: object) -> bool:
    """Accept ``IP:port`` with a port above 0 and an IP other than 0.0.0.0 and ::.

    :raises ValueError: if it is malformed.
    """
    if not isinstance(value, str):
        return True
    host, port = split_address(value)
    return port > 0 and not ipaddress.ip_address(host).is_unspecified
