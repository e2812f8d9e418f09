"""Validation errors that are collected and reported together."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """One validation error.

    Parameters
    ----------
    place : str
        Location: ``file [section] key``, a JSON pointer or a header name.
    problem : str
        Description of the error, in one sentence.
    """

    place: str
    problem: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}"


class FindingsError(ValueError):
    """Raised if input is invalid; ``findings`` holds all errors.

    Parameters
    ----------
    findings : iterable of Finding
        At least one finding.
    """

    def __init__(self, findings: Iterable[Finding]) -> None:
        self.findings = tuple(findings)
        super().__init__("; ".join(str(finding) for finding in self.findings))
