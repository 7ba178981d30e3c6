"""A source of published state that a test answers for."""


class FakeSource:
    """Keeps what was asked, for the test to answer."""

    def __init__(self):
        self.asked: list[str] = []
        self.answer = None

    def read_all(self, on_done) -> None:
        self.asked.append("all")
        self.answer = on_done

    def request_full_state(self) -> None:
        self.asked.append("for all")

    def wait_for_changes(self, after_revision, on_done) -> None:
        self.asked.append(f"after {after_revision.number}")
        self.answer = on_done
