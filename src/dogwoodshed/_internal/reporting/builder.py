"""Build the service-level report on request, once for each closed minute."""

from dogwoodshed._internal.configuration.store import ConfigurationStore
from dogwoodshed._internal.membership import Membership
from dogwoodshed._internal.reporting.exchange import (
    CollectedDay,
    SummaryExchange,
    run_cooperatively,
)
from dogwoodshed._internal.reporting.report import ServiceLevelReport, build_report


class ReportBuilder:
    """Build the report from the collected counts and the objectives in effect."""

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
        if self._inputs is None or not _inputs_equal(inputs, self._inputs):
            self._report = await run_cooperatively(
                build_report(collected, configuration, listed, self._exchange.minute_s)
            )
            self._inputs = inputs
        return self._report


def _inputs_equal(first: tuple, second: tuple) -> bool:
    # The day is compared by identity: comparing its counts would cost more than
    # building the report.
    return first[0] is second[0] and first[1:] == second[1:]
