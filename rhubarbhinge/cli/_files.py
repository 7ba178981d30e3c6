"""Read the operators' documents from files."""

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from rhubarbhinge.register import MAX_DOCUMENT_BYTES, Checked, Fault


def check_file(path: str, parse: Callable[[bytes], Checked]) -> Checked:
    """Read and check a document.

    :param path: Path of the file.
    :param parse: Parser of the document.
    :returns: The verdict, with places that begin with the path.
    """
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_DOCUMENT_BYTES + 1)
    except (OSError, ValueError) as error:
        return Checked(None, (_unreadable(path, error),))
    checked = parse(data)
    return replace(checked, faults=placed(path, checked.faults))


def placed(path: str, faults: tuple[Fault, ...]) -> tuple[Fault, ...]:
    """Add the name of the file to places.

    :param path: Path of the file.
    :param faults: Faults of its document.
    :returns: The faults, with ``path: place``.
    """
    return tuple(replace(fault, place=f"{path}: {fault.place}") for fault in faults)


def _unreadable(path: str, error: Exception) -> Fault:
    reason = getattr(error, "strerror", None) or type(error).__name__
    message = f"the file can't be read: {reason}"
    return Fault(path, "unreadable-file", message, "correct the path or the permissions")
