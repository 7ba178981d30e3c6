"""The configuration in force, as models."""

from rhubarbhinge.register import (
    Checked,
    Register,
    Rules,
    VmList,
    cross_check,
    parse_register,
    parse_rules,
    parse_vms,
)

_PARSERS = {"register": parse_register, "rules": parse_rules, "vms": parse_vms}


class ConfigView:
    """The accepted documents, parsed; all parts of a node read this one object.

    :ivar register: the register in force, None before the first.
    :ivar rules: the rules in force, None before the first.
    :ivar vms: the VM list in force, None before the first.
    """

    def __init__(self) -> None:
        self.register: Register | None = None
        self.rules: Rules | None = None
        self.vms: VmList | None = None
        self.leaving_instances: frozenset[str] = frozenset()
        self._revisions: dict[str, int] = {}
        self._last: tuple[str, bytes, Checked] | None = None

    def validate(self, key: str, data: bytes) -> tuple[bool, tuple[str, ...]]:
        """Check a published document; the same bytes get the same verdict on every node.

        :param key: ``register``, ``rules`` or ``vms``.
        :param data: its bytes.
        :returns: whether it is accepted, and the faults.
        """
        checked = self._parse(key, data)
        faults = [f"{fault.place}: {fault.message} ({fault.todo})" for fault in checked.faults]
        if checked.more_faults:
            faults.append(f"and {checked.more_faults} more faults")
        return checked.ok, tuple(faults)

    def adopt(self, key: str, data: bytes) -> None:
        """Put an accepted document in force.

        :param key: ``register``, ``rules`` or ``vms``.
        :param data: its bytes, which passed :meth:`validate`.
        :raises RuntimeError: when they do not parse, a broken invariant.
        """
        checked = self._parse(key, data)
        self._last = None
        if checked.value is None:
            raise RuntimeError(f"an accepted {key} document does not parse")
        setattr(self, key, checked.value)
        self._revisions[key] = checked.value.revision
        if key == "vms":
            self.leaving_instances = frozenset(
                vm.name for vm in checked.value.vms if vm.state == "leaving"
            )

    def revisions(self) -> dict[str, int]:
        """Give the revisions in force.

        :returns: revision by key.
        """
        return self._revisions

    def complete(self) -> bool:
        """Say whether there is enough to serve by.

        :returns: True with a register and rules.
        """
        return self.register is not None and self.rules is not None

    def cross_faults(self) -> tuple[str, ...]:
        """Name what in the rules does not fit the register.

        :returns: one sentence each.
        """
        if not self.complete():
            return ()
        return tuple(str(fault) for fault in cross_check(self.register, self.rules))

    def _parse(self, key: str, data: bytes) -> Checked:
        if self._last is None or self._last[:2] != (key, data):
            self._last = (key, data, _PARSERS[key](data))
        return self._last[2]
