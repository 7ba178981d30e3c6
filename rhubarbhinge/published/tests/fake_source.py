"""Source of published state whose responses a test provides."""


class FakeSource:
    """Records calls, for the test to respond to."""

    def __init__(self):
        self.calls: list[str] = []
        self.confirmations = 0
        self.respond = None

    def read_all(self, on_done) -> None:
        self.calls.append("all")
        self.respond = on_done

    def request_full_state(self) -> None:
        self.calls.append("full state")

    def confirm(self) -> None:
        self.confirmations += 1

    def wait_for_changes(self, after_revision, on_done) -> None:
        self.calls.append(f"after {after_revision.number}")
        self.respond = on_done
