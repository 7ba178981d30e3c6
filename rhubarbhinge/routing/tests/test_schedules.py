"""Property tests: the relay's invariants hold under random schedules of events."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.routing.tests.fakeshell import IDS, SHED, FakeShell, health, spec

STEPS = st.lists(
    st.tuples(st.sampled_from(sorted("abcdefghijklmnopqrstu")), st.integers(0, 7)),
    min_size=10,
    max_size=120,
)


class TestSchedules(unittest.TestCase):
    @settings(derandomize=True, deadline=None, database=None, max_examples=300)
    @given(STEPS)
    def test_invariants_hold_and_each_sub_query_is_answered_once(self, steps):
        shell = FakeShell(spec(0), spec(1), ramp_ms=100, queue_limit=6)
        for name, number in steps:
            step(shell, name, number)
        shell.wait(500)
        shell.close_requested()
        shell.wait(500)
        lost = shell.expected_by_ms.keys() - shell.replies.keys() - shell.cancelled
        self.assertEqual(lost, set())
        self.assertTrue(shell.core.is_idle())
        self.assertEqual(shell.report_sum("queued"), 0)

    @settings(derandomize=True, deadline=None, database=None, max_examples=100)
    @given(STEPS)
    def test_runs_end_once_and_replies_do_not_wait_past_the_deadline(self, steps):
        shell = FakeShell(spec(0), spec(1), ramp_ms=0)
        for name, number in steps:
            step(shell, name, number)
            shell.wait(1)
            late = [key for key, due_ms in shell.expected_by_ms.items() if due_ms < shell.now_ms]
            unanswered = [key for key in late if key not in shell.replies]
            self.assertLessEqual(set(unanswered), shell.cancelled)


def step(shell: FakeShell, name: str, number: int) -> None:
    """Apply one event; events with several letters are drawn more often."""
    index = number % 2
    busy = sorted(shell.busy.keys() - set(shell.closing))
    conn = busy[number % len(busy)] if busy else None
    if name in "abc":
        shell.batch(*((0, 1, 0, 0, 1, 1, 0, 1)[: number + 1]), deadline_ms=40 * (number + 1))
    elif name == "d":
        shell.batch(index, weight=1 + number, peer="other")
    elif name == "e":
        shell.run(f"t{number // 3}", index, deadline_ms=60)
    elif name == "f":
        shell.cancel(max(1, shell.next_call - number // 2))
    elif name == "g" and number == 0:
        shell.peer_gone()
    elif name in "hi":
        shell.connect(number)
    elif name == "j" and number < 3 and shell.opening:
        shell.close(shell.opening[0])
    elif name == "k":
        shell.close_requested()
    elif name == "l" and number < 5 and shell.conns:
        shell.close(sorted(shell.conns)[number % len(shell.conns)])
    elif name in "mn" and busy:
        shell.answer(conn)
    elif name == "o" and busy:
        _unusual_answer(shell, conn, number)
    elif name in "pq":
        shell.wait((1, 3, 5, 10, 20, 50, 100, 300)[number])
    elif name == "r":
        _change_register(shell, number)
    elif name == "s":
        _drain(shell, index, number)
    elif name in "tu":
        _restart(shell, index)


def _unusual_answer(shell: FakeShell, conn: int, number: int) -> None:
    if number < 3:
        shell.answer(conn, 503, **SHED)
    elif number == 3:
        shell.answer(conn, 503, code="draining", not_run=True)
    elif number == 4:
        shell.answer(conn, draining=True)
    elif number == 5:
        shell.answer(conn, 200, call="7.0", ticket="another")
    elif number == 6:
        shell.answer(conn, 409, code="version-gone")
    else:
        shell.answer(conn, 500)


def _change_register(shell: FakeShell, number: int) -> None:
    if number < 2:
        shell.register(spec(number))
    elif number < 4:
        shell.register(spec(0, share=0.5), spec(1, slots=3), newer=False)
    elif number == 4:
        shell.register(spec(0, leaving=True), spec(1))
    elif number == 5:
        shell.register(spec(0), spec(1, connections=2))
    else:
        shell.register(spec(0), spec(1))


def _drain(shell: FakeShell, index: int, number: int) -> None:
    owned = shell.core.load_report(shell.now_ms).upstream_ids
    if IDS[index] not in owned:
        return
    if number < 2:
        shell.health(index, health(index, shell.incarnations[index], "draining"))
    elif number < 4:
        shell.vm_list(index)
    else:
        shell.vm_list()


def _restart(shell: FakeShell, index: int) -> None:
    shell.incarnations[index] += 1
    shell.restarted(index)


if __name__ == "__main__":
    unittest.main()
