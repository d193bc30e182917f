"""Build the report of a gateway on request, once for each closed minute."""

from dogwoodshed._internal.configuration.store import ConfigurationStore
from dogwoodshed._internal.membership import Membership
from dogwoodshed._internal.reporting.exchange import (
    CollectedDay,
    SummaryExchange,
    run_cooperatively,
)
from dogwoodshed._internal.reporting.report import ServiceLevelReport, build_report


class ReportBuilder:
    """Join what the gateways counted with the objectives in effect."""

    def __init__(
        self,
        exchange: SummaryExchange,
        store: ConfigurationStore,
        membership: Membership,
    ) -> None:
        self._exchange = exchange
        self._store = store
        self._membership = membership
        self._inputs: tuple[CollectedDay, int, tuple[str, ...]] | None = None
        self._report: ServiceLevelReport | None = None

    async def report(self) -> ServiceLevelReport | None:
        """Return the report, or None while no configuration is in effect."""
        collected = await self._exchange.collect()
        configuration = self._store.current
        if configuration is None:
            return None
        listed = self._membership.members.listed
        inputs = (collected, configuration.revision, listed)
        if self._inputs is None or not _same(inputs, self._inputs):
            self._report = await run_cooperatively(
                build_report(collected, configuration, listed, self._exchange.minute_s)
            )
            self._inputs = inputs
        return self._report


def _same(first: tuple, second: tuple) -> bool:
    # Comparing the counts of two days would cost more than the page.
    return first[0] is second[0] and first[1:] == second[1:]
