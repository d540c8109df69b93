"""HTTP client for the operators' port of nodes."""

from __future__ import annotations

from http.client import HTTPConnection, HTTPException
from typing import Final, TypeVar
from urllib.parse import urlencode

from msgspec import Struct, json
from result import Err, Ok, Result

from sequoiapulley.cli.exit_code import CliError, ExitCode
from sequoiapulley.decoding import DecodingError, decode_json
from sequoiapulley.entry.error_messages import ErrorBody

MAX_ANSWER_BYTES: Final = 16 * 1024 * 1024
"""Limit of a response body; a longer one is truncated and cannot be decoded."""

T = TypeVar("T")


class Answer(Struct, frozen=True):
    """HTTP response of a node."""

    node: str
    """`HOST:PORT` of the node that answered."""
    status: int
    body: bytes

    def decode(self, message_type: type[T]) -> T:
        """Decodes the body.

        Args:
            message_type: Expected message type.

        Returns:
            The message.

        Raises:
            CliError: If the body is not a valid message of this type.
        """
        try:
            return decode_json(self.body, message_type)
        except DecodingError as exc:
            message = f"node {self.node} sent an answer that cannot be decoded: {exc}"
            remedy = "Check that HOST:PORT is the operators' port and that versions match."
            raise CliError(ExitCode.UNREACHABLE, message, remedy) from exc

    def expect(self, message_type: type[T]) -> T:
        """Decodes the body of a successful answer.

        Args:
            message_type: Expected message type.

        Returns:
            The message.

        Raises:
            CliError: If the status is not 200 (with the node's message) or the body is invalid.
        """
        if self.status == 200:
            return self.decode(message_type)
        raise CliError(
            ExitCode.UNREACHABLE, f"node {self.node}: {self.error_message()}", "Try another node."
        )

    def error_message(self) -> str:
        """Returns the error message in the body, or the HTTP status if there is none."""
        try:
            return decode_json(self.body, ErrorBody).error.message
        except DecodingError:
            return f"HTTP status {self.status}"


class CallFailure(Struct, frozen=True):
    """Reason why a call has no answer."""

    detail: str
    sent: bool
    """Whether the node may have received the call."""

    def __str__(self) -> str:
        """Returns the detail."""
        return self.detail


class NoAnswerError(CliError):
    """No node answered a call."""

    def __init__(self, message: str, sent: bool) -> None:
        """Creates the error.

        Args:
            message: The failure of each node.
            sent: Whether a node may have received the call.
        """
        remedy = "Give a live node with --node HOST:PORT or in SEQUOIAPULLEY_NODE."
        super().__init__(ExitCode.UNREACHABLE, message, remedy)
        self.sent = sent


class NodeClient:
    """Sends each call to the nodes in turn until one answers."""

    def __init__(self, nodes: tuple[str, ...], timeout: float) -> None:
        """Creates the client.

        Args:
            nodes: `HOST:PORT` of each node, in order of preference; one item may hold several,
                separated by commas or spaces.
            timeout: Timeout of each socket operation, in seconds.
        """
        self._nodes = tuple(part for node in nodes for part in node.replace(",", " ").split())
        self._timeout = timeout

    def get(self, path: str, **query: str) -> Answer:
        """Sends a GET request to the nodes in turn until one answers.

        Args:
            path: Path of the request.
            query: Query parameters.

        Returns:
            The answer, of any status.

        Raises:
            NoAnswerError: If no node answers.
        """
        target = f"{path}?{urlencode(query)}" if query else path
        return self._send_until_answered("GET", target, None)

    def put(self, path: str, message: object) -> Answer:
        """Sends a PUT request to the nodes in turn until one answers.

        A node that did not answer may have processed it, so the message must be safe to repeat.
        """
        return self._send_until_answered("PUT", path, json.encode(message))

    def post(self, path: str, message: object) -> Answer:
        """Sends a POST request to the nodes in turn until one answers.

        A node that did not answer may have processed it, so the message must be safe to repeat.
        """
        return self._send_until_answered("POST", path, json.encode(message))

    def _send_until_answered(self, method: str, target: str, body: bytes | None) -> Answer:
        failures: list[str] = []
        sent = False
        for node in self._nodes:
            result = call_node(node, method, target, body, self._timeout)
            if isinstance(result, Ok):
                return result.ok_value
            failures.append(f"{node} ({result.err_value})")
            sent = sent or result.err_value.sent
        raise NoAnswerError(f"no node answered: {', '.join(failures) or 'no node was given'}", sent)


def call_node(
    node: str, method: str, target: str, body: bytes | None, timeout: float
) -> Result[Answer, CallFailure]:
    """Makes one HTTP call.

    Args:
        node: `HOST:PORT`.
        method: HTTP method.
        target: Path and query.
        body: JSON body, or None.
        timeout: Timeout of each socket operation, in seconds.

    Returns:
        The answer, of any status, or the reason for the failure.
    """
    host, _, port = node.rpartition(":")
    if not host or not port.isdigit():
        return Err(CallFailure("not HOST:PORT", sent=False))
    conn = HTTPConnection(host.strip("[]"), int(port), timeout=timeout)
    headers = {"Content-Type": "application/json"} if body is not None else {}
    sent = False
    try:
        conn.connect()
        sent = True
        conn.request(method, target, body, headers)
        response = conn.getresponse()
        return Ok(Answer(node, response.status, response.read(MAX_ANSWER_BYTES)))
    except (OSError, HTTPException, ValueError, OverflowError) as exc:
        return Err(CallFailure(str(exc) or type(exc).__name__, sent))
    finally:
        conn.close()
