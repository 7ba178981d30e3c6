"""The platform's model, without a clock or a socket."""

import unittest
from dataclasses import replace

from standins.platform import Answer, Platform, PlatformKnobs, Publication, Watch


def get(platform, exchange, after=None, now_ms=0.0, wait_ms=100.0, reader="r1"):
    return platform.get(Watch(exchange, reader, "rules", after, now_ms + wait_ms), now_ms)


class PlatformTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform(PlatformKnobs())
        self.platform.publish(Publication("rules", 3, b"three"))

    def change(self, **knobs):
        return self.platform.change(replace(self.platform.knobs, **knobs))

    def test_get_gives_the_newest(self):
        self.platform.publish(Publication("rules", 5, b"five"))
        self.platform.publish(Publication("rules", 4, b"four"))
        self.assertEqual(get(self.platform, 1), [Answer(1, 200, b"five", 5)])

    def test_watch_waits_for_a_higher_revision(self):
        self.assertEqual(get(self.platform, 1, after=3), [])
        self.assertEqual(self.platform.publish(Publication("rules", 3, b"again")), [])
        self.assertEqual(
            self.platform.publish(Publication("rules", 4, b"four")), [Answer(1, 200, b"four", 4)]
        )

    def test_watch_ends_without_news(self):
        get(self.platform, 1, after=3)
        self.assertEqual(self.platform.tick(99.0), [])
        self.assertEqual(self.platform.tick(100.0), [Answer(1, 204)])

    def test_nothing_published_and_no_such_key(self):
        platform = Platform(PlatformKnobs())
        self.assertEqual(get(platform, 1)[0].status, 404)
        (answer,) = platform.get(Watch(1, "r1", "other", None, 0.0), 0.0)
        self.assertEqual(answer.status, 404)

    def test_stale_answers_an_older_revision(self):
        self.platform.publish(Publication("rules", 4, b"four"))
        self.change(stale_revision={"rules": 3})
        self.assertEqual(get(self.platform, 1), [Answer(1, 200, b"three", 3)])
        self.assertEqual(get(self.platform, 2, after=3), [])
        self.assertEqual(self.change(stale_revision={}), [Answer(2, 200, b"four", 4)])

    def test_down_and_unreachable_end_watches_too(self):
        get(self.platform, 1, after=3)
        self.assertEqual([answer.status for answer in self.change(down=True)], [503])
        self.assertEqual(get(self.platform, 2)[0].status, 503)
        self.change(down=False)
        get(self.platform, 3, after=3)
        self.assertEqual(self.change(unreachable=True), [Answer(3, None)])
        self.assertEqual(get(self.platform, 4), [Answer(4, None)])

    def test_hang_answers_nothing(self):
        get(self.platform, 1, after=3)
        self.change(hang=True)
        self.assertEqual(get(self.platform, 2), [])
        self.assertEqual(self.platform.publish(Publication("rules", 4, b"four")), [])
        self.assertEqual(self.platform.tick(1e6), [])

    def test_cut_off_readers_only(self):
        get(self.platform, 1, after=3, reader="r1")
        get(self.platform, 2, after=3, reader="r2")
        self.assertEqual(self.change(cut_off=["r1"]), [Answer(1, None)])
        self.assertEqual(get(self.platform, 3, reader="r2")[0].status, 200)

    def test_rate_is_over_all_readers_and_a_sliding_second(self):
        self.change(calls_per_s=2)
        found = [
            get(self.platform, number, now_ms=at_ms, reader=f"r{number}")[0].status
            for number, at_ms in enumerate([0.0, 900.0, 950.0, 1001.0])
        ]
        self.assertEqual(found, [200, 200, 503, 200])
        figures = self.platform.figures()
        self.assertEqual((figures["total"], figures["over_rate"]), (4, 1))
        self.assertEqual(figures["most_in_a_second"], 2)

    def test_abandoned_watch_is_forgotten(self):
        get(self.platform, 1, after=3)
        self.platform.abandon(1)
        self.assertEqual(self.platform.publish(Publication("rules", 4, b"four")), [])
