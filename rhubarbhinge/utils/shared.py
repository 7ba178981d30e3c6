"""Components that are shared within a component tree."""

from typing import TypeVar

from circuits import BaseComponent
from circuits.core.utils import findcmp

ComponentT = TypeVar("ComponentT", bound=BaseComponent)


def shared_component(
    member: BaseComponent,
    component_type: type[ComponentT],
    fallback: type[ComponentT] | None = None,
) -> ComponentT:
    """Return a component tree's instance of a class, registering one at the root if there is none.

    :param member: any component of the tree.
    :param component_type: the class to look for; instances of subclasses match as well.
    :param fallback: the class to instantiate; ``component_type`` by default.
    :returns: the component.
    """
    found = findcmp(member.root, component_type)
    if found is None:
        found = (fallback or component_type)().register(member.root)
    return found
