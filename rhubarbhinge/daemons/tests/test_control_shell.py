"""The control shell has an action for each effect of the control cores."""

import typing
import unittest

from rhubarbhinge import control
from rhubarbhinge.control import RevisionsSeen
from rhubarbhinge.control._dissemination import DisseminationEffect
from rhubarbhinge.control._membership import MembershipEffect
from rhubarbhinge.daemons._controlshell import ACTIONS


class ControlShellTest(unittest.TestCase):
    def test_each_effect_has_an_action(self):
        effects = {*typing.get_args(DisseminationEffect), *typing.get_args(MembershipEffect)}
        effects.discard(RevisionsSeen)
        self.assertEqual(effects, set(ACTIONS))
        self.assertIn(control.Superseded, effects)


if __name__ == "__main__":
    unittest.main()
