"""Whether a searcher is leaving."""


class DrainState:
    """Signals that a searcher leaves: the earliest counts, and it is sticky.

    A newer incarnation undoes every signal but the register's; a newer register revision undoes
    the register's own.
    """

    def __init__(self) -> None:
        self._by_register = False
        self._sticky = False
        self._listed = False

    @property
    def draining(self) -> bool:
        """Whether any signal stands."""
        return self._by_register or self._sticky

    def on_register(self, leaving: bool) -> None:
        """Note the flag of a newer register revision.

        :param leaving: the flag.
        """
        self._by_register = leaving

    def on_vm_list(self, leaving: bool) -> None:
        """Note the VM list; only a change to leaving counts, since the list lags.

        :param leaving: whether the list says that the searcher's VM leaves.
        """
        if leaving and not self._listed:
            self._sticky = True
        self._listed = leaving

    def on_signal(self) -> None:
        """Note that the searcher itself said so, in its health or in an answer."""
        self._sticky = True

    def on_incarnation(self) -> None:
        """Note a newer incarnation of the searcher."""
        self._sticky = False
