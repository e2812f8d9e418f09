"""Source of an effective value in the settings tree."""

from dataclasses import dataclass

from berylwalk.settings._checks import Value


@dataclass(frozen=True, slots=True)
class Explanation:
    """Effective value of a key, with its source.

    Parameters
    ----------
    key : str
        Name of the key.
    value : Value
        Effective value of the key.
    source : str
        Path of the node that sets the value.
    inherited : bool
        Whether ``source`` is an ancestor of the explained node.
    overrides : tuple of (str, Value)
        Ancestors of ``source`` whose values are overridden, with these values;
        nearest first.
    """

    key: str
    value: Value
    source: str
    inherited: bool
    overrides: tuple[tuple[str, Value], ...] = ()
