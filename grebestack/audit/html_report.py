"""The audit report as an HTML page: a row for each dispatcher, a bar for each period of a version. Pure."""

from __future__ import annotations

import html
from collections import Counter

from grebestack.audit.merge import COMPARED_FIELDS, MergedAudit, report_lines, version_text
from grebestack.audit.reading import AuditLog

CHART_WIDTH, ROW_HEIGHT, LABEL_WIDTH = 1000.0, 26.0, 140.0  # in pixels
COLOURS = ("#4477aa", "#ee6677", "#228833", "#ccbb44", "#66ccee", "#aa3377", "#bbbbbb")
STYLE = """body{font:14px sans-serif;margin:2em}svg text{font:12px sans-serif}
pre{background:#f4f4f4;padding:1em}
.doubt{fill:url(#doubt)}"""


def _row(
    log: AuditLog, number: int, start: float, span: float, colours: dict[str, str], which: str
) -> list[str]:
    """Return the SVG elements of one dispatcher's row; `start` and `span` in milliseconds."""
    top = 10.0 + number * ROW_HEIGHT
    parts = [f'<text x="0" y="{top + 14:.0f}">{html.escape(log.dispatcher)}</text>']
    for period in log.periods:
        end = period.to_ms if period.to_ms is not None else log.last_item_ms
        version = version_text(period.versions, which)
        colour = colours.setdefault(version, COLOURS[len(colours) % len(COLOURS)])
        left = LABEL_WIDTH + (period.from_ms - start) / span * CHART_WIDTH
        width = max(1.0, (end - period.from_ms) / span * CHART_WIDTH)
        count = sum(period.from_ms <= action.at_ms <= end for action in log.actions)
        title = f"{which} {version or 'none'}: {period.from_ms:.0f} to {end:.0f} ms, {count} acts"
        parts.append(
            f'<rect x="{left:.1f}" y="{top:.0f}" width="{width:.1f}"'
            f' height="{ROW_HEIGHT - 8:.0f}" fill="{colour}">'
            f"<title>{html.escape(title)}</title></rect>"
        )
    for gap in log.gaps:
        left = LABEL_WIDTH + (gap.from_ms - start) / span * CHART_WIDTH
        width = max(2.0, (gap.to_ms - gap.from_ms) / span * CHART_WIDTH)
        parts.append(
            f'<rect class="doubt" x="{left:.1f}" y="{top:.0f}" width="{width:.1f}"'
            f' height="{ROW_HEIGHT - 8:.0f}">'
            f"<title>{html.escape(f'{gap.acts} acts not written down: {gap.why}')}</title></rect>"
        )
    return parts


def report_page(audit: MergedAudit) -> str:
    """Return the report as one HTML page without external resources."""
    starts = [p.from_ms for log in audit.logs.values() for p in log.periods]
    start = min(starts, default=0.0)
    span = max(1.0, max((log.last_item_ms for log in audit.logs.values()), default=0.0) - start)
    names = sorted(audit.logs)
    parts = [
        f"<!doctype html><meta charset=utf-8><title>Audit</title><style>{STYLE}</style><h1>Audit</h1>",
        f"<p>{len(names)} dispatchers, {span / 1000.0:.1f} s. Hatched: not written down.</p>",
    ]
    for which in COMPARED_FIELDS:
        if len(audit.versions.get(which, {})) < 2 and which != "settings":
            continue  # the version never changed: the text names it
        colours: dict[str, str] = {}
        height = 10.0 + len(names) * ROW_HEIGHT
        rows = [
            part
            for n, name in enumerate(names)
            for part in _row(audit.logs[name], n, start, span, colours, which)
        ]
        parts += [
            f"<h2>{which}</h2>",
            f'<svg width="{LABEL_WIDTH + CHART_WIDTH + 10:.0f}" height="{height:.0f}">'
            '<defs><pattern id="doubt" width="6" height="6" patternUnits="userSpaceOnUse">'
            '<path d="M0 6L6 0" stroke="#000"/></pattern></defs>',
            *rows,
            "</svg>",
        ]
    total = sum((counts for counts in audit.action_counts.values()), Counter[str]())
    parts.append(f"<p>{html.escape(', '.join(f'{n} {kind}' for kind, n in sorted(total.items())))}</p>")
    parts.append(f"<pre>{html.escape(chr(10).join(report_lines(audit)))}</pre>")
    return "\n".join(parts)
