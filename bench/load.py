"""Send the planned calls of one load process and print their results."""

import asyncio
import json
import resource
import sys
from typing import Any

from dogwoodshed._internal.standins.caller import Callers, Flow


async def _send(parameters: dict[str, Any]) -> dict[str, Any]:
    callers = Callers(parameters["gateways"])
    results = await callers.run(
        [Flow(**flow) for flow in parameters["flows"]],
        parameters["duration"],
        parameters["seed"],
        parameters["weights"],
    )
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "processor_s": usage.ru_utime + usage.ru_stime,
        "results": [
            (r.flow, r.rank, r.ran, r.elapsed, r.sent_at, r.status) for r in results
        ],
    }


def main() -> None:
    """Send the calls that JSON on standard input describes."""
    print(json.dumps(asyncio.run(_send(json.loads(sys.stdin.read())))))


if __name__ == "__main__":
    main()
