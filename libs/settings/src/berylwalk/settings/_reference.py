"""Settings reference in Markdown, generated from the models."""

from enum import StrEnum
from pathlib import Path

from pydantic import SecretStr
from pydantic.fields import FieldInfo

from berylwalk.settings._agent import AgentSettings
from berylwalk.settings._keys import NodeKeys, TierKeys
from berylwalk.settings._router import RouterSettings
from berylwalk.settings._validation import StrictModel

_BOUNDS = {
    "ge": ">= {}",
    "gt": "> {}",
    "le": "<= {}",
    "lt": "< {}",
    "min_length": "at least {} long",
}
_TYPE_NAMES = {
    int: "integer",
    float: "number",
    bool: "true or false",
    str: "text",
    SecretStr: "text",
    Path: "path",
}
_HEADER = ("| Key | Value | Default | Description |", "| --- | --- | --- | --- |")


def settings_reference() -> str:
    """Generate the reference of all settings.

    Returns
    -------
    str
        Markdown text with one table for each section.
    """
    lines = ["# Settings", ""]
    lines += _file_reference("Settings file of a router", RouterSettings)
    lines += _file_reference("Settings file of an agent", AgentSettings)
    lines += ["## Settings tree", ""]
    lines += _section_reference("/path", NodeKeys)
    lines += _section_reference("tier NAME", TierKeys)
    return "\n".join(lines)


def _file_reference(title: str, model: type[StrictModel]) -> list[str]:
    lines = [f"## {title}", ""]
    for name, field in model.model_fields.items():
        lines += _section_reference(name, field.annotation)
    return lines


def _section_reference(name: str, model: type[StrictModel]) -> list[str]:
    lines = [f"### `[{name}]`", "", model.__doc__.splitlines()[0], "", *_HEADER]
    lines += [_row(key, field) for key, field in model.model_fields.items()]
    return [*lines, ""]


def _row(key: str, field: FieldInfo) -> str:
    cells = (f"`{key}`", _value(field), _default(field), field.description)
    return f"| {' | '.join(cells)} |"


def _value(field: FieldInfo) -> str:
    name = _type_name(field.annotation)
    bounds = [
        text.format(getattr(item, attribute))
        for item in field.metadata
        for attribute, text in _BOUNDS.items()
        if getattr(item, attribute, None) is not None
    ]
    return ", ".join([name, *bounds])


def _type_name(annotation: object) -> str:
    if isinstance(annotation, type) and issubclass(annotation, StrEnum):
        return ", ".join(f"`{member}`" for member in annotation)
    if annotation in _TYPE_NAMES:
        return _TYPE_NAMES[annotation]
    if "tuple" in str(annotation):
        return "comma list"
    return "path" if "Path" in str(annotation) else "text"


def _default(field: FieldInfo) -> str:
    if field.is_required():
        return "required"
    if field.default is None:
        return "unset"
    if field.default == ():
        return "empty"
    if isinstance(field.default, bool):
        return f"`{str(field.default).lower()}`"
    return f"`{field.default}`"
