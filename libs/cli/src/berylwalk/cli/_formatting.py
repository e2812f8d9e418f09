"""Formatting of values and tables."""

from collections.abc import Iterable, Sequence

_COLUMN_SEPARATOR = "  "


def format_value(value: object) -> str:
    """Format a value as in an INI file.

    Parameters
    ----------
    value : bool or int or float or str or list of str
        Value decoded from JSON.

    Returns
    -------
    str
    """
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return ", ".join(value)
    return str(value)


def format_table(titles: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Format rows in aligned columns.

    Parameters
    ----------
    titles : sequence of str
        Column titles.
    rows : iterable of sequence of object
        Cells, formatted by `format_value`.

    Returns
    -------
    str
        Table without a trailing newline.
    """
    lines = [tuple(titles)]
    lines += [tuple(format_value(cell) for cell in row) for row in rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        _COLUMN_SEPARATOR.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
