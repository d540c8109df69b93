"""Runs a stand-in in a thread, either inside a test or as a separate process."""

from __future__ import annotations

import sys
from asyncio import (
    AbstractEventLoop,
    all_tasks,
    current_task,
    gather,
    new_event_loop,
    run_coroutine_threadsafe,
    set_event_loop,
)
from collections.abc import Callable
from signal import SIGINT, SIGTERM, sigwait
from threading import Event, Thread
from typing import Final, Protocol, TypeVar

from msgspec import json

from standins.http_server import Handler, HttpServerConnection

START_TIMEOUT_S: Final = 10.0
LISTEN_BACKLOG: Final = 1024

T = TypeVar("T")


class Service(Protocol):
    """A service that a `ThreadHost` runs."""

    async def open(self) -> None:
        """Opens the listening sockets."""

    async def close(self) -> None:
        """Closes the listening sockets and every connection."""


class ThreadHost:
    """Runs a service on an event loop in a separate thread."""

    def __init__(self, service: Service) -> None:
        """Creates a host that is not started.

        Args:
            service: Service that `start` opens and `stop` closes.
        """
        self._service = service
        self._loop: AbstractEventLoop = new_event_loop()
        self._started = Event()
        self._thread = Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts the thread and returns once the service is open.

        Raises:
            OSError: If the service cannot bind a socket.
            TimeoutError: If the service does not open within `START_TIMEOUT_S`.
        """
        self._thread.start()
        run_coroutine_threadsafe(self._service.open(), self._loop).result(START_TIMEOUT_S)

    def stop(self) -> None:
        """Closes the service and stops the thread."""
        run_coroutine_threadsafe(self._close(), self._loop).result(START_TIMEOUT_S)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(START_TIMEOUT_S)
        self._loop.close()

    def call(self, function: Callable[[], T]) -> T:
        """Runs a function on the event loop and returns its result."""

        async def run() -> T:
            return function()

        return run_coroutine_threadsafe(run(), self._loop).result(START_TIMEOUT_S)

    async def _close(self) -> None:
        """Closes the service and cancels the remaining tasks."""
        await self._service.close()
        tasks = [task for task in all_tasks() if task is not current_task()]
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)

    def _run(self) -> None:
        """Runs the event loop."""
        set_event_loop(self._loop)
        self._loop.run_forever()


class Listener:
    """A listening socket and its connections."""

    def __init__(self, handler: Handler, host: str, port: int) -> None:
        """Creates a listener that is not open.

        Args:
            handler: Returns the reply to a request.
            host: IP address to bind.
            port: TCP port, or 0 for one assigned by the operating system.
        """
        self._handler = handler
        self._host = host
        self.port = port
        self._connections: list[HttpServerConnection] = []
        self._server: object = None

    async def open(self, loop: AbstractEventLoop) -> None:
        """Binds the socket and stores the assigned port."""
        server = await loop.create_server(
            self._accept, self._host, self.port, backlog=LISTEN_BACKLOG, reuse_address=True
        )
        self._server = server
        self.port = server.sockets[0].getsockname()[1]

    def _accept(self) -> HttpServerConnection:
        """Returns the protocol of a new connection."""
        self._connections = [conn for conn in self._connections if conn.transport is not None]
        conn = HttpServerConnection(self._handler)
        self._connections.append(conn)
        return conn

    def close(self) -> None:
        """Closes the socket and resets every connection."""
        if self._server is not None:
            self._server.close()  # type: ignore[attr-defined]
            self._server = None
        for conn in self._connections:
            conn.reset()
        self._connections.clear()


def serve(host: ThreadHost, describe: Callable[[], object]) -> None:
    """Runs a stand-in as a process until SIGINT or SIGTERM.

    Args:
        host: Host of the stand-in; started and stopped by this function.
        describe: Returns a value that is printed as one line of JSON once the service is open.
    """
    host.start()
    sys.stdout.write(json.encode(describe()).decode() + "\n")
    sys.stdout.flush()
    sigwait({SIGINT, SIGTERM})
    host.stop()
