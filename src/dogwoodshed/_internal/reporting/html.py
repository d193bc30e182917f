"""Render the report as one self-contained HTML file."""

from collections.abc import Iterable
from html import escape

from dogwoodshed._internal.reporting import sentences
from dogwoodshed._internal.reporting.chart import burn_chart
from dogwoodshed._internal.reporting.render import (
    COLUMNS,
    Renderer,
    row_cells,
    scope_lines,
)
from dogwoodshed._internal.reporting.report import Row, ServiceLevelReport

# More charts make the report of a fleet with 280 services too large for a phone.
MAX_CHARTS = 12

STYLE = """
:root{color-scheme:light}
body{font:16px/1.45 system-ui,sans-serif;color:#1a1a1a;background:#fff;margin:0 auto;
 padding:1rem;max-width:80rem}
h1{font-size:1.35rem;line-height:1.3;border-left:.4rem solid;padding-left:.7rem}
h1.met{border-color:#1b6e3c}h1.missed{border-color:#a3261b}
h2{font-size:1.1rem;margin-top:2rem}
table{border-collapse:collapse;width:100%;font-variant-numeric:tabular-nums}
th,td{padding:.3rem .5rem;text-align:right;border-bottom:1px solid #ccc}
td{white-space:nowrap}
th{font-weight:600;vertical-align:bottom}
th:nth-child(-n+3),td:nth-child(-n+3){text-align:left}
tr.missed td:nth-child(3){font-weight:700;color:#a3261b}
figure{margin:1rem 0;break-inside:avoid}
svg{width:100%;max-width:45rem;height:auto;display:block}
.wide{overflow-x:auto}
@media(max-width:60rem){
 .cards thead{position:absolute;left:-999rem}
 .cards tr{display:block;border:1px solid #999;border-radius:.3rem;margin:.6rem 0}
 .cards td{display:flex;justify-content:space-between;text-align:right}
 .cards td:nth-child(-n+3){text-align:right}
 .cards td::before{content:attr(data-label);font-weight:600;padding-right:1rem}
}
@media print{
 @page{size:landscape;margin:1cm}
 body{font-size:9pt;max-width:none;padding:0}
 tr,figure{break-inside:avoid}thead{display:table-header-group}
}
"""


class HtmlRenderer(Renderer):
    """Render HTML for phones, desktop screens and print."""

    content_type = "text/html"

    def render(self, report: ServiceLevelReport) -> str:
        """Return the document."""
        result = "missed" if report.missed_rows else "met"
        return "\n".join(
            (
                '<!DOCTYPE html>\n<html lang="en">\n<head>\n<meta charset="utf-8">',
                '<meta name="viewport" content="width=device-width, initial-scale=1">',
                f"<title>Service levels of {escape(report.fleet)}</title>",
                f"<style>{STYLE}</style>\n</head>\n<body>",
                f'<h1 class="{result}">{escape(sentences.first_line(report))}</h1>',
                *(f"<p>{escape(line)}</p>" for line in scope_lines(report)),
                *_list("Not covered", sentences.hole_lines(report)),
                *_list(
                    "What took the time",
                    [sentences.cause_line(row) for row in report.missed_rows],
                ),
                *_rows(report.rows),
                *_charts(report),
                *_probes(report),
                "</body>\n</html>\n",
            )
        )


def _list(title: str, lines: list[str]) -> Iterable[str]:
    if lines:
        yield f"<h2>{title}</h2>\n<ul>"
        yield from (f"<li>{escape(line)}</li>" for line in lines)
        yield "</ul>"


def _rows(rows: tuple[Row, ...]) -> Iterable[str]:
    if not rows:
        return
    yield "<h2>Services by rank</h2>"
    yield from _table(
        COLUMNS, ((row_cells(row), "met" if row.met else "missed") for row in rows)
    )


def _probes(report: ServiceLevelReport) -> Iterable[str]:
    if not report.probes:
        return
    yield "<h2>Probes</h2>"
    cells = (
        ((row.service, f"{row.sent:,}", f"{row.budget:,.0f}"), "")
        for row in report.probes
    )
    yield from _table(("service", "probes sent", "budget"), cells)


def _table(
    headings: tuple[str, ...], rows: Iterable[tuple[tuple[str, ...], str]]
) -> Iterable[str]:
    yield '<div class="wide"><table class="cards">\n<thead><tr>'
    yield "".join(f'<th scope="col">{escape(text)}</th>' for text in headings)
    yield "</tr></thead>\n<tbody>"
    for cells, css_class in rows:
        yield f'<tr class="{css_class}">' + "".join(
            f'<td data-label="{escape(heading)}">{escape(cell)}</td>'
            for heading, cell in zip(headings, cells, strict=True)
        )
        yield "</tr>"
    yield "</tbody></table></div>"


def _charts(report: ServiceLevelReport) -> Iterable[str]:
    # Rows that missed their objective come first, then by falling burn rate.
    rows = sorted(report.rows, key=lambda row: (row.met, -(row.day.rate or 0)))
    shown = rows[:MAX_CHARTS]
    if not shown:
        return
    yield "<h2>Burn rate over the day</h2>"
    yield (
        "<p>At 1 x the error budget is used exactly as fast as the objective allows. "
        "Bars above are hatched and marked with a triangle.</p>"
    )
    if len(rows) > len(shown):
        yield f"<p>{len(shown)} of {len(rows)} shown, those that missed first.</p>"
    for number, row in enumerate(shown):
        name = escape(f"{row.service}, rank {row.rank_name}")
        result = "met" if row.met else "missed"
        yield f"<figure><figcaption>{name}: {result}</figcaption>"
        yield burn_chart(row, report, number)
        yield "</figure>"
