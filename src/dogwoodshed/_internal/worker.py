"""Run a gateway as the main service of a process."""

from mode import Worker


class GatewayWorker(Worker):
    """Worker that ends once its gateway has stopped.

    The grace period of a planned stop is for requests. mode spends at least a second of
    it on sleeping between the end of the last service and that of the process.
    """

    async def _sentinel_task(self) -> None:
        # mode has no public hook for this; test_process_ends_with_its_gateway fails if
        # it is renamed.
        return
