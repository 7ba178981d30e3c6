import subprocess
import sys
import unittest

from standins.fleet import free_ports

_GIVE = """
import sys
from standins.fleet import free_ports
print(*free_ports(134), flush=True)
sys.stdin.read()
"""


class PortsTest(unittest.TestCase):
    def test_no_port_is_given_twice(self):
        given = [port for _ in range(20) for port in free_ports(200)]
        self.assertEqual(len(set(given)), len(given))

    def test_ports_are_not_given_in_a_row(self):
        for _ in range(20):
            ports = free_ports(50)
            self.assertTrue(any(abs(b - a) > 1 for a, b in zip(ports, ports[1:], strict=False)))

    def test_processes_that_ask_at_the_same_time_get_different_ports(self):
        command = [sys.executable, "-c", _GIVE]
        pipe = subprocess.PIPE
        others = [subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True) for _ in range(4)]
        given = [port for other in others for port in other.stdout.readline().split()]
        for other in others:
            other.communicate()
        self.assertEqual(len(given), 4 * 134)
        self.assertEqual(len(set(given)), len(given))
