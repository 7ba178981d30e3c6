"""Tests of loading settings: complete fault reports, precedence of flags, secrecy of the key."""

import dataclasses
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.settings import SETTINGS, NodeSettings, load_settings

KEY = "k" * 32
VALID = {
    "RHUBARBHINGE_NAME": "kgn-a-1",
    "RHUBARBHINGE_FAILURE_DOMAIN": "kgn-a",
    "RHUBARBHINGE_IP": "127.0.0.1",
    "RHUBARBHINGE_PEER_PORT": "7001",
    "RHUBARBHINGE_HTTP_PORT": "8001",
    "RHUBARBHINGE_PLATFORM": "127.0.0.1:6000, [::1]:6001",
    "RHUBARBHINGE_DEPLOYMENT_KEY": KEY,
}


def codes(checked):
    return [(fault.place, fault.code) for fault in checked.faults]


class LoadSettingsTest(unittest.TestCase):
    def test_valid_environment(self):
        checked = load_settings({}, VALID | {"HOME": "/root"})
        self.assertEqual(checked.faults, ())
        self.assertEqual(checked.value.platform, ("127.0.0.1:6000", "[::1]:6001"))
        self.assertEqual(checked.value.peers, ())
        self.assertEqual(checked.value.node_name("relay"), "kgn-a-1/relay")

    def test_flags_override_variables(self):
        flags = {"peer-port": 7009, "http_port": "8009", "peers": ("10.0.0.1:1", "10.0.0.2:2")}
        value = load_settings(flags, VALID).value
        self.assertEqual((value.peer_port, value.http_port), (7009, 8009))
        self.assertEqual(value.peers, ("10.0.0.1:1", "10.0.0.2:2"))

    def test_every_field_has_a_setting(self):
        names = [field.name for field in dataclasses.fields(NodeSettings)]
        self.assertEqual(names, [setting.name for setting in SETTINGS])
        defaults = {field.name: field.default for field in dataclasses.fields(NodeSettings)}
        for setting in SETTINGS:
            has_default = defaults[setting.name] is not dataclasses.MISSING
            self.assertEqual(has_default, not setting.required, setting.name)

    def test_all_faults_are_reported(self):
        flags = {"peer_port": "0", "peers": "localhost:1,10.0.0.1:70000", "nmae": "x"}
        environ = {"RHUBARBHINGE_POOLS": "both", "RHUBARBHINGE_PORT": "1"}
        expected = [
            ("--nmae", "unknown-flag"),
            ("RHUBARBHINGE_PORT", "unknown-variable"),
            ("RHUBARBHINGE_NAME", "missing-setting"),
            ("RHUBARBHINGE_FAILURE_DOMAIN", "missing-setting"),
            ("RHUBARBHINGE_IP", "missing-setting"),
            ("--peer-port", "out-of-range"),
            ("RHUBARBHINGE_HTTP_PORT", "missing-setting"),
            ("RHUBARBHINGE_PLATFORM", "missing-setting"),
            ("RHUBARBHINGE_DEPLOYMENT_KEY", "missing-setting"),
            ("--peers", "bad-address"),
            ("--peers", "bad-address"),
            ("RHUBARBHINGE_POOLS", "unknown-choice"),
        ]
        self.assertEqual(codes(load_settings(flags, environ)), expected)

    def test_contradictory_values(self):
        flags = {"http_port": 7001, "drain_wait_ms": 2, "stop_grace_ms": 1}
        found = codes(load_settings(flags, VALID))
        expected = [("http_port", "duplicate-address"), ("drain_wait_ms", "drain-over-grace")]
        self.assertEqual(found, expected)

    def test_key_is_rejected_as_flag_and_never_shown(self):
        secret = "do-not-show-" * 4
        refused = load_settings({"deployment_key": secret}, VALID)
        self.assertEqual(codes(refused), [("--deployment-key", "secret-flag")])
        accepted = load_settings({}, VALID | {"RHUBARBHINGE_DEPLOYMENT_KEY": secret})
        short = load_settings({}, VALID | {"RHUBARBHINGE_DEPLOYMENT_KEY": secret[:20]})
        self.assertEqual(codes(short), [("RHUBARBHINGE_DEPLOYMENT_KEY", "bad-key")])
        for checked in (refused, accepted, short):
            self.assertNotIn("do-not-show", repr(checked))

    def test_key_file(self):
        environ = {name: text for name, text in VALID.items() if not name.endswith("_KEY")}
        files = {"key": f"{KEY}\n".encode(), "short": b"x"}

        def read_file(path):
            if path not in files:
                raise FileNotFoundError(2, "No such file or directory")
            return files[path]

        def load(path, environ=environ):
            return load_settings({"deployment-key-file": path}, environ, read_file)

        self.assertEqual(load("key").value.deployment_key, KEY.encode())
        place = "--deployment-key-file"
        self.assertEqual(codes(load("short")), [(place, "bad-key")])
        self.assertEqual(codes(load("none")), [(place, "unreadable-file")])
        self.assertEqual(codes(load("key", VALID)), [(place, "two-keys")])

    @settings(derandomize=True, deadline=None, database=None)
    @given(
        st.dictionaries(st.sampled_from([each.name for each in SETTINGS]) | st.text(), st.text()),
        st.dictionaries(st.sampled_from([each.variable for each in SETTINGS]), st.text()),
    )
    def test_never_raises(self, flags, environ):
        checked = load_settings(flags, VALID | environ)
        self.assertEqual(checked.value is None, bool(checked.faults))


if __name__ == "__main__":
    unittest.main()
