"""INI parser that reports every syntax error."""

import re
from collections.abc import Mapping
from configparser import (
    DuplicateOptionError,
    DuplicateSectionError,
    MissingSectionHeaderError,
    ParsingError,
    RawConfigParser,
)

from berylwalk.model import Finding

_RENAME_MARKER = "\x00"
_COMMENT = ";"

SectionValues = Mapping[str, Mapping[str, str]]


def section_place(file: str, section: str, key: str = "") -> str:
    """Format a location in an INI file for findings.

    Parameters
    ----------
    file, section, key : str
        Location; ``key`` is empty for the section itself.

    Returns
    -------
    str
        ``file [section] key``.
    """
    return f"{file} [{section}] {key}".rstrip()


def read_sections(text: str, file: str) -> tuple[SectionValues, list[Finding]]:
    """Parse INI text and collect every syntax error.

    The parser of the standard library stops at the first duplicate. Each line that
    it rejects is therefore renamed or commented out, and the text is parsed again.

    Parameters
    ----------
    text : str
        Contents of the file.
    file : str
        Name of the file, used in findings.

    Returns
    -------
    sections : mapping of str to mapping of str to str
        Values by section and key; the first of duplicate keys is kept.
    findings : list of Finding
        Unparsable lines and duplicates.
    """
    lines = text.replace(_RENAME_MARKER, "\ufffd").splitlines()
    findings: list[Finding] = []
    while True:
        parser = _new_parser()
        try:
            parser.read_string("\n".join(lines))
        except DuplicateSectionError as error:
            _rename_section(lines, error, file, findings)
        except DuplicateOptionError as error:
            _rename_option(lines, error, file, findings)
        except ParsingError as error:
            _comment_out_lines(lines, error, file, findings)
        else:
            return _merge_renamed(parser, file, findings), findings


def _new_parser() -> RawConfigParser:
    parser = RawConfigParser(
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        default_section=_RENAME_MARKER,
        empty_lines_in_values=False,
        strict=True,
    )
    parser.optionxform = str
    return parser


def _rename_section(
    lines: list[str],
    error: DuplicateSectionError,
    file: str,
    findings: list[Finding],
) -> None:
    findings.append(
        Finding(
            section_place(file, error.section),
            f"the section is repeated in line {error.lineno}",
        )
    )
    lines[error.lineno - 1] = f"[{error.section}{_RENAME_MARKER}{error.lineno}]"


def _rename_option(
    lines: list[str],
    error: DuplicateOptionError,
    file: str,
    findings: list[Finding],
) -> None:
    section = error.section.partition(_RENAME_MARKER)[0]
    findings.append(
        Finding(
            section_place(file, section, error.option),
            f"the key is repeated in line {error.lineno}",
        )
    )
    # Renamed, so that its continuation lines are not appended to the key before it.
    lines[error.lineno - 1] = f"{_RENAME_MARKER}{error.lineno} ="


def _comment_out_lines(
    lines: list[str], error: ParsingError, file: str, findings: list[Finding]
) -> None:
    if isinstance(error, MissingSectionHeaderError):
        numbers = [error.lineno]
    else:
        numbers = [number for number, _ in error.errors]
    for number in numbers:
        findings.append(
            Finding(f"{file} line {number}", _parsing_problem(lines[number - 1]))
        )
        lines[number - 1] = _COMMENT


def _parsing_problem(line: str) -> str:
    if re.match(r"[^=]+=", line):
        return "the key precedes the first section header"
    return "the line is neither a section, a key = value pair nor a comment"


def _merge_renamed(
    parser: RawConfigParser, file: str, findings: list[Finding]
) -> dict[str, dict[str, str]]:
    sections: dict[str, dict[str, str]] = {}
    for name in parser.sections():
        section, _, line = name.partition(_RENAME_MARKER)
        merged = sections.setdefault(section, {})
        for key, value in parser.items(name):
            if key.startswith(_RENAME_MARKER):
                continue
            if key in merged:
                findings.append(
                    Finding(
                        section_place(file, section, key),
                        f"the key is repeated in the section of line {line}",
                    )
                )
                continue
            merged[key] = value.strip()
    return sections
