"""Effective settings with the origin of each value."""

from enum import StrEnum

from msgspec import Struct

from berylwalk.settings import Explanation, SettingsDocument, Value


class Origin(StrEnum):
    """Where a value comes from."""

    INHERITED = "inherited"
    """Set at an ancestor node."""

    OVERRIDDEN = "overridden"
    """Set here and at an ancestor node."""

    SET = "set"
    """Set here and at no ancestor node."""


class OtherValue(Struct, frozen=True):
    """An ancestor's value that is overridden."""

    source: str
    value: Value


class ExplainedValue(Struct, frozen=True, omit_defaults=True):
    """An effective value and where it comes from.

    Parameters
    ----------
    key : str
        The key.
    value : Value
        Effective value.
    origin : Origin
        Whether the value is inherited, overridden or set.
    source : str
        Section that sets it.
    overrides : tuple of OtherValue
        Overridden values of ancestor nodes, nearest first.
    """

    key: str
    value: Value
    origin: Origin
    source: str
    overrides: tuple[OtherValue, ...] = ()

    @classmethod
    def from_explanation(cls, explanation: Explanation) -> "ExplainedValue":
        """Convert an explanation of the settings tree."""
        return cls(
            explanation.key,
            explanation.value,
            _origin(explanation),
            explanation.source,
            tuple(OtherValue(*other) for other in explanation.overrides),
        )


class SectionSettings(Struct, frozen=True):
    """Effective values of one section.

    Parameters
    ----------
    path : str
        Path of the node, or ``tier NAME``.
    defined : bool
        Whether the tree contains this section; if not, all values are inherited.
    values : tuple of ExplainedValue
        Explained values; keys that are set nowhere are omitted.
    """

    path: str
    defined: bool
    values: tuple[ExplainedValue, ...]


def explain_section(document: SettingsDocument, path: str) -> SectionSettings:
    """Explain one section.

    Parameters
    ----------
    document : SettingsDocument
        The settings.
    path : str
        Path of a node, which need not exist, or name of a tier section.

    Returns
    -------
    SectionSettings

    Raises
    ------
    ValueError
        When ``path`` is neither a path nor a section of the tree.
    """
    tree = document.tree
    if _is_tier(document, path):
        values = tuple(
            ExplainedValue(key, value, Origin.SET, path)
            for key, value in tree.sections[path].items()
        )
        return SectionSettings(path, True, values)
    explained = tuple(map(ExplainedValue.from_explanation, tree.explain(path)))
    return SectionSettings(path, path in tree.sections, explained)


def explain_tree(document: SettingsDocument) -> tuple[SectionSettings, ...]:
    """Explain all sections, tiers first and nodes by path."""
    names = sorted(document.tree.sections, key=lambda name: (name[0] == "/", name))
    return tuple(explain_section(document, name) for name in names)


def _is_tier(document: SettingsDocument, path: str) -> bool:
    return path in document.tree.sections and not path.startswith("/")


def _origin(explanation: Explanation) -> Origin:
    if explanation.inherited:
        return Origin.INHERITED
    return Origin.OVERRIDDEN if explanation.overrides else Origin.SET
