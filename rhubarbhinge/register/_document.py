"""Conversion of models to the published documents."""

from dataclasses import fields, is_dataclass
from typing import Any

_JSON_NAMES = {"traffic_class": "class"}


def to_document(model: object) -> Any:
    """Convert a register, rules or a VM list to JSON values.

    :param model: The model.
    :returns: Objects, lists and scalars as the published document has them.
    """
    if isinstance(model, tuple):
        return [to_document(item) for item in model]
    if not is_dataclass(model):
        return model
    public = (item.name for item in fields(model) if not item.name.startswith("_"))
    return {_JSON_NAMES.get(name, name): to_document(getattr(model, name)) for name in public}
