"""Exit codes of the command line."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of the command-line tool, for scripts."""

    OK = 0
    """The command succeeded."""
    FINDINGS = 1
    """The configuration text has errors, which are printed, or no configuration exists yet."""
    USAGE = 2
    """The command line is invalid, or a file or service that it names cannot be used."""
    CONFLICT = 3
    """Another edit was accepted first; nothing was written."""
    UNREACHABLE = 4
    """No usable answer, or the store was unavailable; nothing is known to have been written."""
    LAGGING = 5
    """The edit was accepted, but some live nodes did not report it within the wait time."""
    PARTIAL = 6
    """The answer is incomplete: missing shards, unresponsive nodes, or no matching log line."""
    UNKNOWN = 7
    """The edit may have been written; a retry with the same edit id reports the outcome."""
    INTERRUPTED = 130
    """The user interrupted the command; an edit may have been written."""


class CliError(Exception):
    """Error that ends a command with an exit code, a message and a remedy."""

    def __init__(self, code: ExitCode, message: str, remedy: str) -> None:
        """Creates the error.

        Args:
            code: Exit code of the process.
            message: Description of the failure, with the file, node or edit concerned.
            remedy: Next step for the user.
        """
        super().__init__(message)
        self.code = code
        self.message = message
        self.remedy = remedy
