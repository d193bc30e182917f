"""Draw burn rates over the day as SVG charts."""

from html import escape

from dogwoodshed._internal.reporting import sentences
from dogwoodshed._internal.reporting.report import Row, ServiceLevelReport

WIDTH, HEIGHT = 640, 150
LEFT, TOP, BOTTOM = 46, 14, 24
# Higher rates are clipped, so that one bad bin does not flatten the others.
MAX_RATE = 20.0


def burn_chart(row: Row, report: ServiceLevelReport, number: int) -> str:
    """Return an SVG with one bar for each bin of the day that had calls.

    The number keeps the ids in charts of the same document distinct.
    """
    rates = {start: burn.rate or 0.0 for start, burn in row.bins.items()}
    top_rate = min(MAX_RATE, max(2.0, *rates.values()))
    origin = report.first // report.bin_minutes * report.bin_minutes
    bins = -(-(report.until - origin) // report.bin_minutes)
    width = (WIDTH - LEFT) / bins

    def y(rate: float) -> float:
        return TOP + (HEIGHT - TOP - BOTTOM) * (1 - min(rate, top_rate) / top_rate)

    blue_bars, red_bars, triangles = [], [], []
    for start, rate in rates.items():
        x = LEFT + (start - origin) // report.bin_minutes * width
        bar_height = max(y(0) - y(rate), 0.5)
        bar = (
            f"M{x:.1f} {y(0):.1f}v-{bar_height:.1f}h{width * 0.9:.1f}v{bar_height:.1f}z"
        )
        (red_bars if rate > 1 else blue_bars).append(bar)
        if rate > 1:
            middle = x + width * 0.45
            triangles.append(f"M{middle:.1f} {y(rate) - 8:.1f}l-4 6h8z")
    hatch_id = f"hatch-{number}"
    title = escape(f"Burn rate of {row.service}, rank {row.rank_name}")
    return "\n".join(
        (
            f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img" aria-label="{title}">',
            f"<title>{title}</title>",
            f'<defs><pattern id="{hatch_id}" width="4" height="4" '
            'patternUnits="userSpaceOnUse" patternTransform="rotate(45)">'
            '<rect width="4" height="4" fill="#f0c8c2"/>'
            '<rect width="2" height="4" fill="#a3261b"/></pattern></defs>',
            f'<path d="{"".join(blue_bars)}" fill="#7d93ab"/>',
            f'<path d="{"".join(red_bars)}" fill="url(#{hatch_id})" stroke="#a3261b"/>',
            f'<path d="{"".join(triangles)}" fill="#a3261b"/>',
            f'<path d="M{LEFT} {y(0):.1f}H{WIDTH}" stroke="#333"/>',
            f'<path d="M{LEFT} {y(1):.1f}H{WIDTH}" stroke="#333" '
            'stroke-dasharray="5 3"/>',
            *_labels(report, top_rate, y(1), y(top_rate)),
            "</svg>",
        )
    )


def _labels(
    report: ServiceLevelReport, top_rate: float, y_of_one: float, y_of_top: float
) -> list[str]:
    def text(x: float, y: float, anchor: str, content: str) -> str:
        return (
            f'<text x="{x}" y="{y:.1f}" text-anchor="{anchor}" font-size="12">'
            f"{content}</text>"
        )

    first, until = (
        sentences.clock_time(minute, report.minute_s)
        for minute in (report.first, report.until)
    )
    return [
        text(LEFT - 5, y_of_one + 4, "end", "1 x"),
        text(LEFT - 5, y_of_top + 4, "end", f"{top_rate:.0f} x"),
        text(LEFT, HEIGHT - 7, "start", f"{first} UTC"),
        text(WIDTH, HEIGHT - 7, "end", f"{until} UTC"),
    ]
