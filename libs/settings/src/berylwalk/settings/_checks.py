"""Validation of a whole settings tree."""

from collections.abc import Iterable, Mapping

from pydantic import ValidationError

from berylwalk.model import Finding
from berylwalk.settings._ini import section_place
from berylwalk.settings._keys import CREDENTIAL_KEY, NodeKeys, TierKeys
from berylwalk.settings._paths import is_node, is_tier, tier_name, tier_section
from berylwalk.settings._validation import StrictModel, findings_from

Value = bool | int | float | str | tuple[str, ...]
Sections = Mapping[str, Mapping[str, Value]]


def check_sections(
    raw: Mapping[str, Mapping[str, object]], source: str
) -> tuple[dict[str, dict[str, Value]], list[Finding]]:
    """Validate each section of a tree and the references between sections.

    Parameters
    ----------
    raw : mapping of str to mapping of str to object
        Values by section and key, typed or as text.
    source : str
        Name of the file or document, used in findings.

    Returns
    -------
    sections : dict of str to dict of str to Value
        The validated values, without invalid ones.
    findings : list of Finding
        Every problem found.
    """
    sections: dict[str, dict[str, Value]] = {}
    findings: list[Finding] = []
    for section, values in raw.items():
        model = _section_model(section)
        if model is None:
            problem = "is neither a path such as /a/b nor a tier such as 'tier NAME'"
            findings.append(Finding(section_place(source, section), problem))
            continue
        sections[section], section_findings = _check_section(
            model, values, source, section
        )
        findings += section_findings
    findings += _check_ranks(sections, source)
    findings += _check_tiers_exist(sections, source)
    findings += _check_credentials(sections, source)
    return sections, findings


def _section_model(section: str) -> type[StrictModel] | None:
    if is_node(section):
        return NodeKeys
    return TierKeys if is_tier(section) else None


def _check_section(
    model: type[StrictModel], values: Mapping[str, object], source: str, section: str
) -> tuple[dict[str, Value], list[Finding]]:
    try:
        return model.model_validate(dict(values)).model_dump(exclude_unset=True), []
    except ValidationError as error:
        findings = findings_from(
            error, lambda location: section_place(source, section, ".".join(location))
        )
        invalid_keys = {details["loc"][0] for details in error.errors()}
    # Valid keys are kept for the checks across sections.
    valid_values = {
        key: value for key, value in values.items() if key not in invalid_keys
    }
    if "rank" in invalid_keys:
        return {}, findings
    return model.model_validate(valid_values).model_dump(exclude_unset=True), findings


def _check_ranks(sections: Sections, source: str) -> Iterable[Finding]:
    section_by_rank: dict[Value, str] = {}
    for section, values in sections.items():
        if "rank" not in values:
            continue
        first = section_by_rank.setdefault(values["rank"], section)
        if first != section:
            yield Finding(
                section_place(source, section, "rank"),
                f"rank {values['rank']} is already that of tier {tier_name(first)!r}",
            )


def _check_tiers_exist(sections: Sections, source: str) -> Iterable[Finding]:
    for section, values in sections.items():
        if "tier" in values and tier_section(values["tier"]) not in sections:
            yield Finding(
                section_place(source, section, "tier"),
                f"there is no tier named {values['tier']!r}",
            )


def _check_credentials(sections: Sections, source: str) -> Iterable[Finding]:
    section_by_credential: dict[str, str] = {}
    for section, values in sections.items():
        for credential in values.get(CREDENTIAL_KEY, ()):
            first = section_by_credential.setdefault(credential, section)
            if first != section:
                yield Finding(
                    section_place(source, section, CREDENTIAL_KEY),
                    f"{credential} is already a credential of {first}",
                )
