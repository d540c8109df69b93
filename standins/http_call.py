"""Blocking JSON calls on loopback, for the demo, tests and benchmarks."""

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
        path: Path with its query.
        body: Value to send as JSON, or None.
        timeout: Seconds.
        headers: Header names with underscores for dashes.

    Returns:
        Status and decoded body.

    Raises:
        OSError: If the call fails.
        HTTPException: If the reply is cut off.
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
