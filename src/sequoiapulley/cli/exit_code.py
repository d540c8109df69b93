"""Exit codes of the command line."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What a command's end means to scripts."""

    OK = 0
    """The command did what it was asked to."""
    FINDINGS = 1
    """The text or file has faults, listed on standard output."""
    USAGE = 2
    """The command line is wrong."""
    CONFLICT = 3
    """Another edit came first; nothing was written."""
    UNREACHABLE = 4
    """No node answered, or the store was unavailable; nothing is known to be written."""
    LAGGING = 5
    """The edit is accepted, some live nodes have not reported it within the time to wait."""
    PARTIAL = 6
    """The answer is incomplete: shards are lacking or some nodes did not answer."""
    UNKNOWN = 7
    """The edit may have been written; the same edit id settles it."""
    INTERRUPTED = 130
    """The user interrupted the command; an edit may have been written."""


class CliError(Exception):
    """Ends a command with a message."""

    def __init__(self, code: ExitCode, message: str, remedy: str) -> None:
        """Initialise the error.

        Args:
            code: Exit code of the process.
            message: What went wrong, naming the thing.
            remedy: What to do about it.
        """
        super().__init__(message)
        self.code = code
        self.message = message
        self.remedy = remedy
