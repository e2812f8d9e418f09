"""Request handlers for the settings."""

from urllib.parse import unquote

from absl import logging
from anyio import move_on_after
from msgspec import Struct

from berylwalk.admin._calls import AdminCall, Handler, Response, RouteKey
from berylwalk.admin._explained import SectionSettings, explain_section, explain_tree
from berylwalk.admin._inputs import (
    CHANGE_ID,
    read_base_version,
    read_change_id,
    read_edits,
)
from berylwalk.admin._problems import Problem, ProblemError, ProblemKind, invalid
from berylwalk.admin._services import SettingsService
from berylwalk.admin._submit_responses import (
    RETRY_AFTER_S,
    AcceptedChange,
    accepted_response,
    response_for,
)
from berylwalk.model import Finding, FindingsError
from berylwalk.settings import (
    Change,
    Patch,
    ReadFailed,
    SettingsDocument,
    SettingsTree,
    Undecided,
    edits_between,
    export_ini,
    parse_ini,
)

SUBMIT_TIMEOUT_S = 10.0
READ_TIMEOUT_S = 5.0
IMPORT_FILE_HEADER = "import-file"
DEFAULT_IMPORT_FILE = "settings.ini"


class VersionedSection(Struct, frozen=True):
    """Response to ``GET settings``."""

    version: int
    section: SectionSettings


class VersionedTree(Struct, frozen=True):
    """Response to ``GET settings/tree``."""

    version: int
    sections: tuple[SectionSettings, ...]


def settings_routes(
    settings: SettingsService, *, submit_timeout_s: float = SUBMIT_TIMEOUT_S
) -> dict[RouteKey, Handler]:
    """Return the handlers for the settings.

    Parameters
    ----------
    settings : SettingsService
        The operators' settings.
    submit_timeout_s : float
        Timeout for submitting a change, in seconds.

    Returns
    -------
    dict of RouteKey to Handler
        Paths are relative to the root of the API.
    """
    resources = _SettingsResources(settings, submit_timeout_s)
    return {
        ("GET", "settings"): resources.get_section,
        ("PATCH", "settings"): resources.patch,
        ("GET", "settings/tree"): resources.get_tree,
        ("GET", "settings/export"): resources.export,
        ("POST", "settings/import"): resources.import_ini,
        ("GET", "settings/changes/"): resources.get_change,
    }


class _SettingsResources:
    def __init__(self, settings: SettingsService, submit_timeout_s: float) -> None:
        self._settings = settings
        self._submit_timeout_s = submit_timeout_s

    async def get_section(self, call: AdminCall) -> Response:
        """Return the effective settings at one path with their origins."""
        document = _document(self._settings)
        path = call.query.get("path", "/")
        try:
            section = explain_section(document, path)
        except ValueError as error:
            raise invalid([Finding("path", str(error))]) from error
        body = VersionedSection(document.version, section)
        return Response(body, _version_headers(document))

    async def get_tree(self, call: AdminCall) -> Response:
        """Return the effective settings of all sections with their origins."""
        document = _document(self._settings)
        body = VersionedTree(document.version, explain_tree(document))
        return Response(body, _version_headers(document))

    async def export(self, call: AdminCall) -> Response:
        """Return the settings tree as INI text."""
        document = _document(self._settings)
        return Response(export_ini(document.tree), _version_headers(document))

    async def patch(self, call: AdminCall) -> Response:
        """Submit the edits in the body."""
        base_version, findings = read_base_version(call)
        change_id, change_id_findings = read_change_id(call)
        edits, edit_findings = read_edits(call.body)
        findings += change_id_findings + edit_findings
        if findings:
            raise invalid(findings, change_id=change_id)
        return await self._submit(Patch(change_id, base_version, edits), call.author)

    async def import_ini(self, call: AdminCall) -> Response:
        """Submit the edits that turn the current tree into the one in the body."""
        base_version, findings = read_base_version(call)
        change_id, change_id_findings = read_change_id(call)
        tree, tree_findings = _read_tree(call)
        findings += change_id_findings + tree_findings
        if findings:
            raise invalid(findings, change_id=change_id)
        document = await _document_at_least(self._settings, base_version)
        edits = edits_between(document.tree, tree)
        known = document.find_change(change_id)
        if not edits:
            version = document.version if known is None else known.version
            return accepted_response(version, change_id)
        # The file contains the entire tree: compared with a later version, it would
        # silently revert changes made since the operator exported it.
        if known is None and document.version != base_version:
            raise _outdated_base_version(base_version, document.version, change_id)
        patch = Patch(change_id, document.version, edits)
        return await self._submit(patch, call.author)

    async def get_change(self, call: AdminCall) -> Response:
        """Return the version that a change created."""
        change_id = call.argument
        change = await _find_change(self._settings, change_id)
        if change is None:
            raise _unknown_change(change_id)
        body = AcceptedChange(change.version, change.change_id, change.author)
        return Response(body, {CHANGE_ID: change.change_id})

    async def _submit(self, patch: Patch, author: str) -> Response:
        result = Undecided("the key-value service did not answer in time")
        with move_on_after(self._submit_timeout_s):
            result = await self._settings.submit(patch, author)
        logging.info(
            "settings change %s by %s with %d edit(s), based on version %d: %s",
            patch.change_id,
            author,
            len(patch.edits),
            patch.base_version,
            type(result).__name__,
        )
        return response_for(result, patch.change_id)


def _read_tree(call: AdminCall) -> tuple[SettingsTree | None, list[Finding]]:
    file = unquote(call.headers.get(IMPORT_FILE_HEADER, DEFAULT_IMPORT_FILE))
    try:
        return parse_ini(call.body.decode(), file=file), []
    except UnicodeDecodeError as error:
        return None, [Finding(file, f"is not UTF-8 text: {error}")]
    except FindingsError as error:
        return None, list(error.findings)


def _document(settings: SettingsService) -> SettingsDocument:
    document = settings.document
    if document is None:
        raise _unavailable("this router has not learned the settings yet")
    return document


async def _document_at_least(
    settings: SettingsService, version: int
) -> SettingsDocument:
    """Return the document, read from the store if the local one is older."""
    document = _document(settings)
    return document if document.version >= version else await _latest(settings)


async def _latest(settings: SettingsService) -> SettingsDocument:
    latest = ReadFailed("the key-value service did not answer in time")
    with move_on_after(READ_TIMEOUT_S):
        latest = await settings.latest()
    if isinstance(latest, ReadFailed):
        raise _unavailable(latest.reason)
    return latest


async def _find_change(settings: SettingsService, change_id: str) -> Change | None:
    document = settings.document
    change = None if document is None else document.find_change(change_id)
    # The local document may be outdated, so absence is checked in the store.
    return change or (await _latest(settings)).find_change(change_id)


def _version_headers(document: SettingsDocument) -> dict[str, str]:
    return {"ETag": f'"{document.version}"'}


def _unavailable(detail: str) -> ProblemError:
    problem = Problem(ProblemKind.UNAVAILABLE, detail)
    return ProblemError(503, problem, {"Retry-After": str(RETRY_AFTER_S)})


def _unknown_change(change_id: str) -> ProblemError:
    detail = (
        "the change is not among the latest accepted ones; if its answer was lost it "
        "may still be accepted: repeat it with the same change id to settle it"
    )
    problem = Problem(ProblemKind.UNKNOWN_CHANGE, detail, change_id=change_id)
    return ProblemError(404, problem)


def _outdated_base_version(
    base_version: int, version: int, change_id: str
) -> ProblemError:
    detail = (
        f"the file was made from version {base_version}, and version {version} is in "
        "force: export the settings again and repeat the changes there"
    )
    problem = Problem(ProblemKind.STALE, detail, version=version, change_id=change_id)
    return ProblemError(409, problem, {CHANGE_ID: change_id})
