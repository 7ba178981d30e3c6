"""Components of which a tree holds one, shared by all that need it."""

from typing import TypeVar

from circuits import BaseComponent
from circuits.core.utils import findcmp

ComponentT = TypeVar("ComponentT", bound=BaseComponent)


def shared_component(
    member: BaseComponent, kind: type[ComponentT], fallback: type[ComponentT] | None = None
) -> ComponentT:
    """Find the tree's component of a kind; register one at the root if there is none.

    :param member: any component of the tree.
    :param kind: the class to look for, subclasses included.
    :param fallback: the class to make one of, ``kind`` by default.
    :returns: the component.
    """
    found = findcmp(member.root, kind)
    if found is None:
        found = (fallback or kind)().register(member.root)
    return found
