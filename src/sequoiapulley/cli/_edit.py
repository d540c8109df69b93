"""Base version, submission and outcome of one configuration edit."""

from __future__ import annotations

from getpass import getuser
from os import getuid
from typing import Final

from sequoiapulley.cli.exit_code import CliError, ExitCode
from sequoiapulley.cli.node_client import Answer, NoAnswerError, NodeClient
from sequoiapulley.cli.output import format_difference
from sequoiapulley.entry.operators_messages import (
    ConfigView,
    EditAccepted,
    EditFindings,
    EditRefused,
    EditRequest,
    EditUnavailable,
)
from sequoiapulley.ids import ConfigVersion

BASE_VERSION_PREFIX: Final = "// version "
"""Prefix of the first line of `config show`, from which `config apply` reads its base version."""


def user_name() -> str:
    """Returns the login name, or the numeric user id if the system has no name for it."""
    try:
        return getuser()
    except (KeyError, OSError):
        return f"uid {getuid()}"


def split_base_version(content: str) -> tuple[ConfigVersion | None, str]:
    """Returns the version in the first line and the text below, or None and the whole content."""
    first, _, rest = content.partition("\n")
    number = first.removeprefix(BASE_VERSION_PREFIX).strip()
    if not first.startswith(BASE_VERSION_PREFIX) or not number.isascii() or not number.isdigit():
        return None, content
    return ConfigVersion(int(number)), rest


def choose_base_version(
    option: int | None, first_line: ConfigVersion | None, active: ConfigVersion
) -> ConfigVersion:
    """Returns the version that an edit is based on.

    The option takes precedence over the file's first line, and that over the active version.

    Args:
        option: Version from the command line, or None.
        first_line: Version in the file's first line, or None.
        active: Active version.
    """
    if option is not None:
        return ConfigVersion(option)
    return active if first_line is None else first_line


def send_edit(client: NodeClient, req: EditRequest, file: str) -> Answer:
    """Sends an edit and returns the answer of the first node that answers.

    Raises:
        NoAnswerError: If no node can have received the edit.
        CliError: With code UNKNOWN if a node may have received the edit but none answered.
    """
    try:
        return client.put("/v1/config", req)
    except NoAnswerError as exc:
        if not exc.sent:
            raise
        raise _unknown_outcome_error(exc.message, req, file) from exc


def _unknown_outcome_error(detail: str, req: EditRequest, file: str) -> CliError:
    remedy = (
        f"Retry with the same edit id, which cannot apply it twice: {_retry_command(req, file)}"
    )
    return CliError(ExitCode.UNKNOWN, f"the edit may have been written: {detail}", remedy)


def _retry_command(req: EditRequest, file: str) -> str:
    command = f"sequoiapulley config apply {file} --edit-id {req.edit_id}"
    return f"{command} --base {req.base_version}"


def read_outcome(answer: Answer, req: EditRequest, file: str) -> EditAccepted:
    """Returns the accepted edit.

    Raises:
        CliError: If the edit was not accepted or its outcome is unknown.
    """
    if answer.status == 200:
        return answer.decode(EditAccepted)
    if answer.status == 409:
        raise _conflict_error(answer.decode(EditRefused).current, req, file)
    if answer.status == 422:
        findings = answer.decode(EditFindings).findings
        lines = "\n".join(str(finding) for finding in findings)
        message = f"node {answer.node} rejected the configuration text:\n{lines}"
        raise CliError(ExitCode.FINDINGS, message, "Correct the text and apply it again.")
    if answer.status == 503:
        raise _unavailable_error(answer, req, file)
    detail = f"node {answer.node}: {answer.error_message()}"
    if answer.status >= 500:
        raise _unknown_outcome_error(detail, req, file)
    message = f"the edit was not accepted, {detail}"
    raise CliError(ExitCode.UNREACHABLE, message, "Check the node's log events.")


def _conflict_error(current: ConfigView, req: EditRequest, file: str) -> CliError:
    difference = format_difference(req.text, current.text, file, f"version {current.version}")
    message = (
        f"{current.author} edited first: version {current.version} is in force, your edit "
        f"was based on version {req.base_version}; nothing was written\n{difference}"
    )
    remedy = f"Merge the difference into {file}, then apply with --base {current.version}."
    return CliError(ExitCode.CONFLICT, message, remedy)


def _unavailable_error(answer: Answer, req: EditRequest, file: str) -> CliError:
    outcome = answer.decode(EditUnavailable)
    if not outcome.outcome_known:
        return _unknown_outcome_error(f"the store did not confirm it: {outcome.detail}", req, file)
    message = f"the store is unavailable, nothing was written: {outcome.detail}"
    remedy = f"When the store is available again, retry: {_retry_command(req, file)}"
    return CliError(ExitCode.UNREACHABLE, message, remedy)
