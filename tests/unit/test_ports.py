"""Test the choice of ports for processes that are about to start."""

import os
import subprocess
import sys
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

    def test_processes_choose_from_separate_parts(self):
        """Guards against fleets of two test runs whose gateways find each other.

        A fleet took the ports of gateways that another run had killed, and sent its
        entries to the gateways that were left.
        """
        size = len(PORT_RANGE) // RANGE_PARTS
        own_part = (free_ports(1)[0] - PORT_RANGE.start) // size
        # A process whose id leads to the same part.
        script = (
            "import os\n"
            f"os.getpid = lambda: {os.getpid()}\n"
            "from dogwoodshed._internal.standins.ports import free_ports\n"
            "print(free_ports(1)[0])\n"
        )
        run = subprocess.run(
            [sys.executable, "-c", script], capture_output=True, text=True, check=True
        )
        self.assertNotEqual((int(run.stdout) - PORT_RANGE.start) // size, own_part)
