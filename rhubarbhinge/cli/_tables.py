"""Tables of plain text."""

from collections.abc import Sequence

from rhubarbhinge.cli._result import printable


def table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Align rows in columns, numbers to the right.

    :param header: Title of each column.
    :param rows: The rows, each as long as the header.
    :returns: The lines.
    """
    texts = [list(header)] + [[_cell(value) for value in row] for row in rows]
    columns = list(zip(*texts, strict=True))
    widths = [max(map(len, column)) for column in columns]
    right = [bool(rows) and all(_is_number(row[at]) for row in rows) for at in range(len(header))]
    return [_line(row, widths, right) for row in texts]


def _line(row: Sequence[str], widths: Sequence[int], right: Sequence[bool]) -> str:
    cells = [
        text.rjust(width) if to_right else text.ljust(width)
        for text, width, to_right in zip(row, widths, right, strict=True)
    ]
    return "  ".join(cells).rstrip()


def _cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.6g}"
    return printable(value)


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)
