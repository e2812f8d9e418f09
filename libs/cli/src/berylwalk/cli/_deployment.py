"""Command that checks deployment files."""

import tomllib
from argparse import Namespace
from pathlib import Path

from msgspec import DecodeError, ValidationError

from berylwalk.cli._exit_codes import ExitCode
from berylwalk.cli._settings_checks import read_text
from berylwalk.model import Finding, FindingsError
from berylwalk.platform import decode_vm_settings

ROLE_KEYS = frozenset(
    {"run", "on", "share", "count", "apart", "serves", "metrics", "template", "env"}
)
REQUIRED_KEYS = ("run", "on")


def check_deployment(arguments: Namespace) -> ExitCode:
    """Check settings files of VMs (JSON) and deploy files (TOML).

    Raises
    ------
    FindingsError
        With the errors of all files.
    """
    findings: list[Finding] = []
    for file in arguments.files:
        file_findings = (_check_deploy if file.suffix == ".toml" else _check_vm)(file)
        findings += file_findings
        if not file_findings:
            print(f"{file}: valid")
    if findings:
        raise FindingsError(findings)
    return ExitCode.OK


def _check_vm(file: Path) -> list[Finding]:
    try:
        decode_vm_settings(read_text(file).encode())
    except (DecodeError, ValidationError, ValueError) as error:
        return [Finding(str(file), str(error))]
    return []


def _check_deploy(file: Path) -> list[Finding]:
    try:
        document = tomllib.loads(read_text(file))
    except tomllib.TOMLDecodeError as error:
        return [Finding(str(file), str(error))]
    findings = []
    if "build" not in document:
        findings.append(Finding(str(file), "missing 'build'"))
    roles = document.get("roles", {})
    if not roles:
        findings.append(Finding(str(file), "missing [roles]"))
    for name, role in roles.items():
        place = f"{file}: [roles.{name}]"
        findings += [
            Finding(place, f"no {key!r}") for key in REQUIRED_KEYS if key not in role
        ]
        findings += [
            Finding(place, f"unknown {key!r}")
            for key in sorted(role.keys() - ROLE_KEYS)
        ]
    return findings
