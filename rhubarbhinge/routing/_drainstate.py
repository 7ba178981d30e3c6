"""Whether a searcher is leaving."""


class DrainState:
    """Signals that a searcher leaves: the earliest counts, and it is sticky.

    A newer incarnation undoes every signal but the register's; a newer register revision undoes
    the register's own.
    """

    def __init__(self) -> None:
        self._by_register = False
        self._register_revision = -1
        self._by_searcher_or_list = False
        self._listed = False

    @property
    def draining(self) -> bool:
        """Whether any signal stands."""
        return self._by_register or self._by_searcher_or_list

    def on_register(self, leaving: bool, revision: int) -> None:
        """Note the register's flag.

        :param leaving: the flag.
        :param revision: the register's revision; only a newer one undoes the flag.
        """
        if leaving or revision > self._register_revision:
            self._by_register = leaving
            self._register_revision = revision

    def on_vm_list(self, leaving: bool) -> None:
        """Note the VM list; only a change to leaving counts, since the list lags.

        :param leaving: whether the list says that the searcher's VM leaves.
        """
        if leaving and not self._listed:
            self._by_searcher_or_list = True
        self._listed = leaving

    def on_signal(self) -> None:
        """Note that the searcher itself said so, in its health or in an answer."""
        self._by_searcher_or_list = True

    def on_newer_incarnation(self) -> None:
        """Note that the searcher has started anew."""
        self._by_searcher_or_list = False
