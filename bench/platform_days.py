"""Write the page of the standard days from the journal of scored runs.

The worth of a day is the share of the possible credit served less deductions (prices); the mark is
the highest worth that the day asks for.
"""

from __future__ import annotations

import sys
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
from statistics import mean

import matplotlib
import msgspec
from matplotlib import pyplot as plt

JOURNAL = Path("journal")
PAGE = Path("docs/benchmarks/platform.md")
SCORES = 3
MAIN_PRICES = 4
DECIMALS = 3


class Day(msgspec.Struct):
    """Hold one run of a standard day, as a journal entry stores it."""

    name: str
    slot: str
    kind: str
    G: float
    top: float
    served: float
    parts: list[tuple[str, float, float]]
    prices: list[tuple[str, float, float]]
    rules: dict[str, int] = {}


class Entry(msgspec.Struct):
    """Hold one journal entry, which records one run of the scoring command."""

    id: str
    cmd: str
    at: list[str]
    head: str
    site: str = ""
    score: float | None = None
    days: list[Day] | None = None


@dataclass(frozen=True, slots=True)
class DaySummary:
    """Hold the means of one standard day over several scores."""

    day: str
    worth: float
    mark: float
    served: float
    windows: float
    prices: tuple[tuple[str, float], ...]


def main() -> int:
    """Write the page and the plots from the latest scores of each site."""
    matplotlib.use("svg")
    plt.rcParams["svg.hashsalt"] = "rattangate"
    sections = [PAGE_HEAD]
    for site, entries in sorted(latest_scores(read_entries(JOURNAL)).items()):
        summaries = summarize_days(entries)
        plot = PAGE.with_name(f"platform-{site}.svg")
        draw(site, summaries, plot)
        sections.append(render(site, entries, summaries, plot.name))
    PAGE.write_text("\n".join(sections))
    return 0


def read_entries(journal: Path) -> list[Entry]:
    """Read the journal in order of time; skip and report entries that do not fit `Entry`."""
    decoder = msgspec.json.Decoder(Entry)
    entries = []
    for path in sorted(journal.glob("*.json")):
        try:
            entries.append(decoder.decode(path.read_bytes()))
        except msgspec.ValidationError as exc:
            print(f"{path}: skipped, not a journal entry: {exc}")
    return sorted(entries, key=lambda entry: entry.at)


def latest_scores(entries: list[Entry]) -> dict[str, list[Entry]]:
    """Return up to `SCORES` latest full scores of each site, all of the same commit."""
    scores: dict[str, list[Entry]] = defaultdict(list)
    for entry in entries:
        if entry.cmd == "score" and entry.score is not None and entry.days:
            scores[entry.site].append(entry)
    return {
        site: [entry for entry in found if entry.head == found[-1].head][-SCORES:]
        for site, found in scores.items()
    }


def summarize_days(entries: list[Entry]) -> list[DaySummary]:
    """Return the summary of each standard day."""
    played: dict[str, list[Day]] = defaultdict(list)
    for entry in entries:
        for day in entry.days or []:
            if not day.name.startswith("fresh"):
                played[day.name].append(day)
    return [_summarize_day(name, days) for name, days in played.items()]


def draw(site: str, summaries: list[DaySummary], path: Path) -> None:
    """Plot worth, deductions and mark of each day."""
    figure, axes = plt.subplots(figsize=(8.0, 3.2))
    positions = range(len(summaries))
    axes.bar(positions, [summary.worth for summary in summaries], color="#4477aa", label="worth")
    deducted = [sum(deducted for _, deducted in summary.prices) for summary in summaries]
    axes.bar(
        positions,
        deducted,
        bottom=[summary.worth for summary in summaries],
        color="#ccbb44",
        label="deductions",
    )
    marks = [summary.mark for summary in summaries]
    axes.scatter(positions, marks, color="#aa3377", marker="_", s=900, label="mark")
    axes.set_xticks(list(positions), [summary.day for summary in summaries])
    axes.set_ylim(0.0, 1.0)
    axes.set_title(site)
    axes.legend(loc="lower left", ncols=3)
    figure.savefig(path, metadata={"Date": None}, bbox_inches="tight")
    plt.close(figure)


def render(site: str, entries: list[Entry], summaries: list[DaySummary], plot: str) -> str:
    """Return the section of a site as Markdown."""
    ids = ", ".join(entry.id for entry in entries)
    scores = ", ".join(f"{entry.score:.3f}" for entry in entries)
    rows = [_render_row(summary) for summary in summaries]
    return "\n".join(
        [
            f"## {site}",
            "",
            f"Scores: {scores} (journal: {ids}).",
            "",
            f"![Worth, deductions and marks of {site}]({plot})",
            "",
            "| day | worth | mark | served | worst windows | largest deductions |",
            "|---|---|---|---|---|---|",
            *rows,
            "",
        ]
    )


def _summarize_day(name: str, days: list[Day]) -> DaySummary:
    deducted: dict[str, list[float]] = defaultdict(list)
    for day in days:
        for price, _, cost in day.prices:
            deducted[price].append(cost)
    prices = sorted(
        ((price, mean(costs)) for price, costs in deducted.items()), key=lambda x: -x[1]
    )
    windows = mean(share for day in days for part, _, share in day.parts if "windows" in part)
    worth = mean(day.G for day in days)
    served = mean(day.served for day in days)
    return DaySummary(name, worth, days[0].top, served, windows, tuple(prices))


def _render_row(summary: DaySummary) -> str:
    prices = ", ".join(f"{name} {cost:.{DECIMALS}f}" for name, cost in summary.prices[:MAIN_PRICES])
    reached = (
        "reached"
        if summary.worth >= summary.mark
        else f"{summary.mark - summary.worth:.{DECIMALS}f} short"
    )
    return (
        f"| {summary.day} | {summary.worth:.{DECIMALS}f} | {summary.mark:.{DECIMALS}f}, {reached} |"
        f" {summary.served:.{DECIMALS}f} | {summary.windows:.{DECIMALS}f} | {prices} |"
    )


PAGE_HEAD = """# The standard days of the users' platform

Made by `python -m bench.platform_days` from the last full scores in `journal/`, all of one commit, processor
time charged; each value is the mean over these scores. Worth is the share of the possible credit served
(the whole day, the worst windows, the worst class and, at Sadaf, the worst zone, by the site's weights) less
the deductions (prices). The mark is the highest worth that the site's day asks for.

Limiting factors, from the logs of single runs (`fleetbench replay SITE NAME --log front`):

- Heavy days: while some engines do not respond and others load new weights, one to three of six serve
  (`scale-1`: 83d41efcb37cd158 in `docs/OPERATIONS.md`); the worst windows are these seconds and those
  around the final fault. Fewer concurrent loads only shifted the loss to old weights and cold caches.
- Repeated prefill of shared prefixes: each weights load clears an engine's cache, and requests with one
  prefix that reach several engines before the first has computed it are prefilled on each of them.
- Bytes between data centres: prompts of 18 kB that go where their prefix is cached, and state updates
  between peers. A run without these updates, when each went to every instance, put their part at 0.013 of
  0.042 at Magnolia Bend. Now that an update crosses once to each data centre, the sum is 0.030 to 0.036;
  the parts were not measured again.
"""


if __name__ == "__main__":
    sys.exit(main())
