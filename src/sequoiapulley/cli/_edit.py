"""The parts of one edit: its base, its sending and its outcome."""

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

BASE_LINE: Final = "// version "
"""Start of the first line of `config show`; `config apply` takes its base from it."""


def user_name() -> str:
    """Returns the user's name, also where the system has none for its number."""
    try:
        return getuser()
    except (KeyError, OSError):
        return f"uid {getuid()}"


def split_base(content: str) -> tuple[ConfigVersion | None, str]:
    """Splits the line that names the version, if there is one, from the text."""
    first, _, rest = content.partition("\n")
    number = first.removeprefix(BASE_LINE).strip()
    if not first.startswith(BASE_LINE) or not number.isascii() or not number.isdigit():
        return None, content
    return ConfigVersion(int(number)), rest


def choose_base(
    given: int | None, named: ConfigVersion | None, current: ConfigVersion
) -> ConfigVersion:
    """Returns the version that an edit builds on.

    Args:
        given: What the user gave, if anything.
        named: What the file's first line names, if anything.
        current: Version in force.
    """
    if given is not None:
        return ConfigVersion(given)
    return current if named is None else named


def send_edit(client: NodeClient, req: EditRequest, file: str) -> Answer:
    """Sends an edit; one that may have reached a node without an answer is not called lost."""
    try:
        return client.put("/v1/config", req)
    except NoAnswerError as exc:
        if not exc.sent:
            raise
        raise _unknown(exc.message, req, file) from exc


def _unknown(detail: str, req: EditRequest, file: str) -> CliError:
    remedy = f"Repeating it settles it, harmlessly: {_repeat_command(req, file)}"
    return CliError(ExitCode.UNKNOWN, f"the edit may be written: {detail}", remedy)


def _repeat_command(req: EditRequest, file: str) -> str:
    command = f"sequoiapulley config apply {file} --edit-id {req.edit_id}"
    return f"{command} --base {req.base_version}"


def read_outcome(answer: Answer, req: EditRequest, file: str) -> EditAccepted:
    """Returns the accepted edit or raises what became of it."""
    if answer.status == 200:
        return answer.decode(EditAccepted)
    if answer.status == 409:
        raise _conflict(answer.decode(EditRefused).current, req, file)
    if answer.status == 422:
        findings = answer.decode(EditFindings).findings
        lines = "\n".join(str(finding) for finding in findings)
        message = f"node {answer.node} refuses the text:\n{lines}"
        raise CliError(ExitCode.FINDINGS, message, "Mend the text and apply it again.")
    if answer.status == 503:
        raise _unavailable(answer, req, file)
    detail = f"node {answer.node}: {answer.error()}"
    if answer.status >= 500:
        raise _unknown(detail, req, file)
    message = f"the edit was not taken, {detail}"
    raise CliError(ExitCode.UNREACHABLE, message, "Look at the node's log events.")


def _conflict(current: ConfigView, req: EditRequest, file: str) -> CliError:
    difference = format_difference(req.text, current.text, file, f"version {current.version}")
    message = (
        f"{current.author} edited first: version {current.version} is in force, your edit "
        f"was based on version {req.base_version}; nothing was written\n{difference}"
    )
    remedy = f"Merge the difference into {file}, then apply with --base {current.version}."
    return CliError(ExitCode.CONFLICT, message, remedy)


def _unavailable(answer: Answer, req: EditRequest, file: str) -> CliError:
    outcome = answer.decode(EditUnavailable)
    if not outcome.outcome_known:
        return _unknown(f"the store did not confirm it: {outcome.detail}", req, file)
    message = f"the store is unavailable, nothing was written: {outcome.detail}"
    remedy = f"When it is back: {_repeat_command(req, file)}"
    return CliError(ExitCode.UNREACHABLE, message, remedy)
