"""Draw burn rates over the day as SVG."""

from html import escape

from dogwoodshed._internal.reporting import words
from dogwoodshed._internal.reporting.report import Row, ServiceLevelReport

WIDTH, HEIGHT = 640, 150
LEFT, TOP, BOTTOM = 46, 14, 24
# Rates above are cut, so that one bad bin does not flatten the rest.
MAX_RATE = 20.0


def burn_chart(row: Row, page: ServiceLevelReport, number: int) -> str:
    """Return an SVG with one bar for each bin of the day that had calls.

    The number tells the charts of one document apart.
    """
    rates = {start: burn.rate or 0.0 for start, burn in row.bins.items()}
    top = min(MAX_RATE, max(2.0, *rates.values()))
    origin = page.first // page.bin_minutes * page.bin_minutes
    bins = -(-(page.until - origin) // page.bin_minutes)
    width = (WIDTH - LEFT) / bins

    def y(rate: float) -> float:
        return TOP + (HEIGHT - TOP - BOTTOM) * (1 - min(rate, top) / top)

    below, above, marks = [], [], []
    for start, rate in rates.items():
        x = LEFT + (start - origin) // page.bin_minutes * width
        high = max(y(0) - y(rate), 0.5)
        bar = f"M{x:.1f} {y(0):.1f}v-{high:.1f}h{width * 0.9:.1f}v{high:.1f}z"
        (above if rate > 1 else below).append(bar)
        if rate > 1:
            middle = x + width * 0.45
            marks.append(f"M{middle:.1f} {y(rate) - 8:.1f}l-4 6h8z")
    identity = f"hatch-{number}"
    title = escape(f"Burn rate of {row.service}, rank {row.rank_name}")
    return "\n".join(
        (
            f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img" aria-label="{title}">',
            f"<title>{title}</title>",
            f'<defs><pattern id="{identity}" width="4" height="4" '
            'patternUnits="userSpaceOnUse" patternTransform="rotate(45)">'
            '<rect width="4" height="4" fill="#f0c8c2"/>'
            '<rect width="2" height="4" fill="#a3261b"/></pattern></defs>',
            f'<path d="{"".join(below)}" fill="#7d93ab"/>',
            f'<path d="{"".join(above)}" fill="url(#{identity})" stroke="#a3261b"/>',
            f'<path d="{"".join(marks)}" fill="#a3261b"/>',
            f'<path d="M{LEFT} {y(0):.1f}H{WIDTH}" stroke="#333"/>',
            f'<path d="M{LEFT} {y(1):.1f}H{WIDTH}" stroke="#333" '
            'stroke-dasharray="5 3"/>',
            *_labels(page, top, y(1), y(top)),
            "</svg>",
        )
    )


def _labels(
    page: ServiceLevelReport, top: float, one: float, highest: float
) -> list[str]:
    def text(x: float, y: float, anchor: str, content: str) -> str:
        return (
            f'<text x="{x}" y="{y:.1f}" text-anchor="{anchor}" font-size="12">'
            f"{content}</text>"
        )

    first, until = (
        words.clock_time(minute, page.minute_s) for minute in (page.first, page.until)
    )
    return [
        text(LEFT - 5, one + 4, "end", "1 x"),
        text(LEFT - 5, highest + 4, "end", f"{top:.0f} x"),
        text(LEFT, HEIGHT - 7, "start", f"{first} UTC"),
        text(WIDTH, HEIGHT - 7, "end", f"{until} UTC"),
    ]
