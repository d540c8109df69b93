"""HTTP calls to the operators' port of nodes."""

from __future__ import annotations

from http.client import HTTPConnection, HTTPException
from typing import Final, TypeVar
from urllib.parse import urlencode

from msgspec import DecodeError, Struct, json
from result import Err, Ok, Result

from sequoiapulley.cli.exit_code import CliError, ExitCode
from sequoiapulley.entry.error_messages import ErrorBody

MAX_ANSWER_BYTES: Final = 16 * 1024 * 1024

T = TypeVar("T")


class Answer(Struct, frozen=True):
    """One HTTP answer of a node."""

    node: str
    """`HOST:PORT` that answered."""
    status: int
    body: bytes

    def decode(self, kind: type[T]) -> T:
        """Decodes the body.

        Args:
            kind: Expected message type.

        Returns:
            The message.

        Raises:
            CliError: If the body is of another kind.
        """
        try:
            return json.decode(self.body, type=kind)
        except DecodeError as exc:
            message = f"node {self.node} sent an answer that cannot be read: {exc}"
            remedy = "Check that HOST:PORT is the operators' port and that versions match."
            raise CliError(ExitCode.UNREACHABLE, message, remedy) from exc

    def expect(self, kind: type[T]) -> T:
        """Decodes the body of a success, or raises the node's own error.

        Args:
            kind: Expected message type.

        Returns:
            The message.

        Raises:
            CliError: If the status is not 200.
        """
        if self.status == 200:
            return self.decode(kind)
        raise CliError(ExitCode.UNREACHABLE, f"node {self.node}: {self.error()}", "Ask another.")

    def error(self) -> str:
        """Returns the node's error message in one line."""
        try:
            return json.decode(self.body, type=ErrorBody).error.message
        except DecodeError:
            return f"HTTP status {self.status}"


class CallFailure(Struct, frozen=True):
    """A call without an answer."""

    detail: str
    sent: bool
    """Whether the node may have received the call."""

    def __str__(self) -> str:
        """Returns the detail."""
        return self.detail


class NoAnswerError(CliError):
    """No node answered a call."""

    def __init__(self, message: str, sent: bool) -> None:
        """Initialise the error.

        Args:
            message: What each node did.
            sent: Whether a node may have received the call.
        """
        remedy = "Name a live node with --node HOST:PORT or in SEQUOIAPULLEY_NODE."
        super().__init__(ExitCode.UNREACHABLE, message, remedy)
        self.sent = sent


class NodeClient:
    """Calls nodes one after the other until one answers."""

    def __init__(self, nodes: tuple[str, ...], timeout: float) -> None:
        """Initialise the client.

        Args:
            nodes: `HOST:PORT` of each, in order of preference.
            timeout: Seconds to wait for one answer.
        """
        self._nodes = tuple(part for node in nodes for part in node.replace(",", " ").split())
        self._timeout = timeout

    def get(self, path: str, **query: str) -> Answer:
        """Asks the first node that answers.

        Args:
            path: Path of the route.
            query: Query parameters.

        Returns:
            The answer, of any status.

        Raises:
            NoAnswerError: If no node answers.
        """
        target = f"{path}?{urlencode(query)}" if query else path
        return self._first("GET", target, None)

    def put(self, path: str, message: object) -> Answer:
        """Sends a message to the first node that answers; repeats must be harmless."""
        return self._first("PUT", path, json.encode(message))

    def post(self, path: str, message: object) -> Answer:
        """Sends a message to the first node that answers; repeats must be harmless."""
        return self._first("POST", path, json.encode(message))

    def _first(self, method: str, target: str, body: bytes | None) -> Answer:
        failures: list[str] = []
        sent = False
        for node in self._nodes:
            result = call_node(node, method, target, body, self._timeout)
            if isinstance(result, Ok):
                return result.ok_value
            failures.append(f"{node} ({result.err_value})")
            sent = sent or result.err_value.sent
        raise NoAnswerError(f"no node answered: {', '.join(failures) or 'none was named'}", sent)


def call_node(
    node: str, method: str, target: str, body: bytes | None, timeout: float
) -> Result[Answer, CallFailure]:
    """Makes one HTTP call.

    Args:
        node: `HOST:PORT`.
        method: HTTP method.
        target: Path and query.
        body: JSON body, or None.
        timeout: Seconds.

    Returns:
        The answer of any status, or why there is none.
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
