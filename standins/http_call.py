"""Blocking HTTP calls with JSON bodies on loopback, for the demo, tests and benchmarks."""

from __future__ import annotations

from http.client import HTTPConnection
from typing import Any, Final

from msgspec import json

HOST: Final = "127.0.0.1"


def http_json(
    port: int, method: str, path: str, body: object = None, timeout: float = 10.0, **headers: Any
) -> tuple[int, Any]:
    """Calls a JSON endpoint on loopback.

    Args:
        port: TCP port.
        method: HTTP method.
        path: Path and query string.
        body: Value to send as JSON, or None.
        timeout: Timeout of each socket operation in seconds.
        headers: Header values by name, with underscores in place of dashes.

    Returns:
        Status and decoded JSON body.

    Raises:
        OSError: If the connection fails or times out.
        HTTPException: If the reply is malformed or truncated.
    """
    conn = HTTPConnection(HOST, port, timeout=timeout)
    try:
        data = json.encode(body) if body is not None else None
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        conn.request(method, path, data, named)
        reply = conn.getresponse()
        return reply.status, json.decode(reply.read())
    finally:
        conn.close()
