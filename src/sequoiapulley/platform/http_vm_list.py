"""HTTP adapter for the platform's list of VMs, whose items are decoded one by one."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from msgspec import Raw, Struct
from result import Err, Ok

from sequoiapulley.decoding import DecodingError, decode_json
from sequoiapulley.forward.addresses import check_host, check_port
from sequoiapulley.platform.vm_list import VmListing, VmListReply, VmRecord
from sequoiapulley.wire.http_client import HttpCall, HttpClient, HttpResult

LIST_PATH: Final = "/v1/vms"
CALL_TIMEOUT_S: Final = 2.0
STATUS_OK: Final = 200


class _ListBody(Struct):
    """Body of the reply with the list."""

    vms: list[Raw]


class HttpVmList:
    """Implements `VmList`."""

    def __init__(self, client: HttpClient, host: str, port: int) -> None:
        """Creates an adapter for one server.

        Args:
            client: HTTP client for the calls.
            host: IP address of the list's server.
            port: TCP port of the list's server.
        """
        self._client = client
        self._host = host
        self._port = port

    def fetch(self, done: Callable[[VmListReply], None]) -> None:
        """Fetches the list."""

        def on_done(result: HttpResult) -> None:
            done(_decode_list(result))

        call = HttpCall(self._host, self._port, "GET", LIST_PATH, timeout=CALL_TIMEOUT_S)
        self._client.request(call, on_done)


def _decode_list(result: HttpResult) -> VmListReply:
    """Decodes the result of a call to the list, or returns an error message."""
    if isinstance(result, Err):
        return Err(f"VM list: {result.err_value.detail}")
    reply = result.ok_value
    if reply.status != STATUS_OK:
        return Err(f"VM list: server replied with status {reply.status}")
    try:
        items = decode_json(reply.body, _ListBody).vms
    except DecodingError as exc:
        return Err(f"VM list does not decode: {exc}")
    vms: list[VmRecord] = []
    unreadable: list[str] = []
    for item in items:
        try:
            vms.append(_decode_record(bytes(item)))
        except ValueError as exc:
            unreadable.append(str(exc))
    return Ok(VmListing(tuple(vms), tuple(unreadable)))


def _decode_record(item: bytes) -> VmRecord:
    """Decodes one item of the list.

    Raises:
        ValueError: If it is no record, or its address is not that of one VM.
    """
    record = decode_json(item, VmRecord)
    check_host(record.host)
    check_port(record.port)
    return record
