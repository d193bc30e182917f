"""Test the problem responses for calls that were not served."""

import unittest

from dogwoodshed._internal.exceptions import (
    OverloadedError,
    UpstreamRefusedError,
    UpstreamTimeoutError,
)
from dogwoodshed._internal.proxy.problems import problem_response


def retry_after(error):
    return problem_response(error).headers.get("Retry-After")


class ProblemsTest(unittest.TestCase):
    def test_caller_of_a_refused_call_retries_at_once(self):
        """Guards against a delay that makes the response late.

        A retry is a new call and usually reaches an upstream that accepts it. The most
        urgent calls have a time limit of 200 ms and a service time of 64 ms.
        """
        delays = [float(retry_after(UpstreamRefusedError("s"))) for _ in range(50)]
        self.assertLessEqual(max(delays), 0.05)

    def test_callers_of_a_busy_service_retry_later_and_spread(self):
        """Guards against callers that retry together while a service is overloaded."""
        delays = [float(retry_after(OverloadedError("s"))) for _ in range(50)]
        self.assertGreaterEqual(min(delays), 0.1)
        self.assertGreater(max(delays) - min(delays), 0.05)

    def test_unknown_outcome_has_no_retry_after(self):
        """Guards against a call that runs twice."""
        self.assertIsNone(retry_after(UpstreamTimeoutError("s")))
