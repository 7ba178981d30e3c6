import unittest

from standins.fleet import free_ports


class PortsTest(unittest.TestCase):
    def test_no_port_is_given_twice(self):
        given = [port for _ in range(20) for port in free_ports(200)]
        self.assertEqual(len(set(given)), len(given))
