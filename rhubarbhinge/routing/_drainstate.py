"""Drain signals of a searcher."""


class DrainState:
    """Combines the signals that a searcher is leaving; the first one takes effect and is sticky.

    A newer incarnation clears every signal except the register's; a newer register revision clears
    the register's own.
    """

    def __init__(self) -> None:
        self._by_register = False
        self._register_revision = -1
        self._by_searcher_or_list = False
        self._listed = False

    @property
    def draining(self) -> bool:
        """Whether any signal is set."""
        return self._by_register or self._by_searcher_or_list

    def on_register(self, leaving: bool, revision: int) -> None:
        """Record the register's leaving flag.

        :param leaving: the flag.
        :param revision: the register's revision; only a newer one clears the flag.
        """
        if leaving or revision > self._register_revision:
            self._by_register = leaving
            self._register_revision = revision

    def on_vm_list(self, leaving: bool) -> None:
        """Record the VM list's state; only a change to leaving counts, since the list lags.

        :param leaving: whether the list marks the searcher's VM as leaving.
        """
        if leaving and not self._listed:
            self._by_searcher_or_list = True
        self._listed = leaving

    def on_searcher_signal(self) -> None:
        """Record that the searcher reported draining in its health document or in a response."""
        self._by_searcher_or_list = True

    def on_newer_incarnation(self) -> None:
        """Record that the searcher has restarted."""
        self._by_searcher_or_list = False
