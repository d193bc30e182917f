"""Test what callers are told when a call was not served."""

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
    def test_caller_of_a_refused_call_returns_at_once(self):
        """Guards against a wait that makes the answer late.

        Another try is a first arrival again and mostly reaches an upstream that takes
        it; the most urgent calls have 200 ms and need 64 ms of work.
        """
        waits = [float(retry_after(UpstreamRefusedError("s"))) for _ in range(50)]
        self.assertLessEqual(max(waits), 0.05)

    def test_callers_of_a_busy_service_return_later_and_spread(self):
        """Guards against callers that return together to a service without room."""
        waits = [float(retry_after(OverloadedError("s"))) for _ in range(50)]
        self.assertGreaterEqual(min(waits), 0.1)
        self.assertGreater(max(waits) - min(waits), 0.05)

    def test_caller_of_an_unknown_outcome_is_not_told_to_return(self):
        """Guards against a call that runs twice."""
        self.assertIsNone(retry_after(UpstreamTimeoutError("s")))
