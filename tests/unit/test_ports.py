"""Test the choice of ports for processes that are about to start."""

import unittest

from dogwoodshed._internal.standins.ports import PORT_RANGE, RANGE_PARTS, free_ports


class PortsTest(unittest.TestCase):
    def test_no_port_is_returned_twice_before_it_is_used(self):
        """Guards against two gateways of one fleet on the same port.

        A dozen ports drawn at random from 20,000 collide in one of 300 fleets. A
        gateway then fails to start with "address already in use", as in a soak run.
        """
        ports = [free_ports(1)[0] for _ in range(len(PORT_RANGE) // RANGE_PARTS // 2)]
        self.assertEqual(len(set(ports)), len(ports))
