"""Loading of the settings file of a node."""

from os import PathLike
from pathlib import Path
from typing import Self

from pydantic import ValidationError

from berylwalk.model import Finding, FindingsError
from berylwalk.settings._ini import read_sections, section_place
from berylwalk.settings._node import (
    MIN_KEY_LENGTH,
    FleetSection,
    NodeSection,
    PlatformSection,
    PortsSection,
    TelemetrySection,
)
from berylwalk.settings._validation import StrictModel, findings_from


class NodeSettings(StrictModel):
    """Settings of a process: the sections shared by routers and agents."""

    node: NodeSection
    fleet: FleetSection
    ports: PortsSection
    platform: PlatformSection
    telemetry: TelemetrySection

    @classmethod
    def from_file(cls, path: str | PathLike[str]) -> Self:
        """Load and validate a settings file.

        Parameters
        ----------
        path : path-like
            INI file with a section for each field of the class.

        Raises
        ------
        FindingsError
            If the file is invalid; lists every problem.
        """
        path = Path(path)
        sections, findings = read_sections(_read_text(path), str(path))
        # An absent section is validated as empty, to report each missing key.
        data = {name: {} for name in cls.model_fields}
        data.update({name: dict(values) for name, values in sections.items()})
        key_findings = _load_key(data["fleet"], path)
        findings += key_findings
        settings = None
        try:
            settings = cls.model_validate(data)
        except ValidationError as error:
            found = findings_from(error, lambda location: _place(path, location))
            findings += _without_key_findings(found, path) if key_findings else found
        if settings is None or findings:
            raise FindingsError(findings)
        return settings


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise FindingsError([Finding(str(path), f"cannot be read: {error}")]) from error


def _place(path: Path, location: tuple[str, ...]) -> str:
    section, *keys = location
    return section_place(str(path), section, ".".join(keys))


def _load_key(fleet: dict[str, str], path: Path) -> list[Finding]:
    """Set ``key`` to the contents of ``key_file``."""
    key_file = fleet.get("key_file")
    if key_file is None:
        return []
    place = section_place(str(path), "fleet", "key_file")
    if "key" in fleet:
        return [Finding(place, "key and key_file are mutually exclusive")]
    try:
        key = (path.parent / key_file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        return [Finding(place, f"cannot be read: {error}")]
    if len(key) < MIN_KEY_LENGTH:
        return [Finding(place, f"contains fewer than {MIN_KEY_LENGTH} characters")]
    fleet["key"] = key
    return []


def _without_key_findings(findings: list[Finding], path: Path) -> list[Finding]:
    # A problem with the key file is reported for key_file only.
    place = section_place(str(path), "fleet", "key")
    return [finding for finding in findings if finding.place != place]
