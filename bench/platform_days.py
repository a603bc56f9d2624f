"""What each standard day of the users' platform earned and what each price took, from the journal."""

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
PLACES = 3


class Day(msgspec.Struct):
    """Hold one played day of a journal entry."""

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
    """Hold a journal entry."""

    id: str
    cmd: str
    at: list[str]
    head: str
    site: str = ""
    score: float | None = None
    days: list[Day] | None = None


@dataclass(frozen=True, slots=True)
class Line:
    """Hold the mean of one day over several scores."""

    day: str
    worth: float
    mark: float
    served: float
    windows: float
    prices: tuple[tuple[str, float], ...]


def main() -> int:
    """Write the page and the plots from the last scores of each site."""
    matplotlib.use("svg")
    plt.rcParams["svg.hashsalt"] = "rattangate"
    sections = [HEAD]
    for site, entries in sorted(last_scores(read_entries(JOURNAL)).items()):
        lines = mean_lines(entries)
        plot = PAGE.with_name(f"platform-{site}.svg")
        draw(site, lines, plot)
        sections.append(render(site, entries, lines, plot.name))
    PAGE.write_text("\n".join(sections))
    return 0


def read_entries(journal: Path) -> list[Entry]:
    """Read the journal in the order of time, without entries of other forms."""
    decoder = msgspec.json.Decoder(Entry)
    entries = []
    for path in sorted(journal.glob("*.json")):
        try:
            entries.append(decoder.decode(path.read_bytes()))
        except msgspec.ValidationError as exc:
            print(f"{path}: left out: {exc}")
    return sorted(entries, key=lambda entry: entry.at)


def last_scores(entries: list[Entry]) -> dict[str, list[Entry]]:
    """Return the last full scores of each site, all of one commit."""
    scores: dict[str, list[Entry]] = defaultdict(list)
    for entry in entries:
        if entry.cmd == "score" and entry.score is not None and entry.days:
            scores[entry.site].append(entry)
    return {
        site: [entry for entry in found if entry.head == found[-1].head][-SCORES:]
        for site, found in scores.items()
    }


def mean_lines(entries: list[Entry]) -> list[Line]:
    """Return the mean of each standard day."""
    played: dict[str, list[Day]] = defaultdict(list)
    for entry in entries:
        for day in entry.days or []:
            if not day.name.startswith("fresh"):
                played[day.name].append(day)
    return [_mean_line(name, days) for name, days in played.items()]


def draw(site: str, lines: list[Line], path: Path) -> None:
    """Draw worth and prices of each day against its mark."""
    figure, axes = plt.subplots(figsize=(8.0, 3.2))
    places = range(len(lines))
    axes.bar(places, [line.worth for line in lines], color="#4477aa", label="worth")
    taken = [sum(taken for _, taken in line.prices) for line in lines]
    axes.bar(
        places,
        taken,
        bottom=[line.worth for line in lines],
        color="#ccbb44",
        label="taken by prices",
    )
    marks = [line.mark for line in lines]
    axes.scatter(places, marks, color="#aa3377", marker="_", s=900, label="mark")
    axes.set_xticks(list(places), [line.day for line in lines])
    axes.set_ylim(0.0, 1.0)
    axes.set_title(site)
    axes.legend(loc="lower left", ncols=3)
    figure.savefig(path, metadata={"Date": None}, bbox_inches="tight")
    plt.close(figure)


def render(site: str, entries: list[Entry], lines: list[Line], plot: str) -> str:
    """Return the section of a site."""
    ids = ", ".join(entry.id for entry in entries)
    scores = ", ".join(f"{entry.score:.3f}" for entry in entries)
    rows = [_render_line(line) for line in lines]
    return "\n".join(
        [
            f"## {site}",
            "",
            f"Scores: {scores} (journal: {ids}).",
            "",
            f"![Worth, prices and marks of {site}]({plot})",
            "",
            "| day | worth | mark | served | worst windows | what the prices took most |",
            "|---|---|---|---|---|---|",
            *rows,
            "",
        ]
    )


def _mean_line(name: str, days: list[Day]) -> Line:
    taken: dict[str, list[float]] = defaultdict(list)
    for day in days:
        for price, _, cost in day.prices:
            taken[price].append(cost)
    prices = sorted(((price, mean(costs)) for price, costs in taken.items()), key=lambda x: -x[1])
    windows = mean(share for day in days for part, _, share in day.parts if "windows" in part)
    worth = mean(day.G for day in days)
    served = mean(day.served for day in days)
    return Line(name, worth, days[0].top, served, windows, tuple(prices))


def _render_line(line: Line) -> str:
    prices = ", ".join(f"{name} {cost:.{PLACES}f}" for name, cost in line.prices[:MAIN_PRICES])
    reached = "reached" if line.worth >= line.mark else f"{line.mark - line.worth:.{PLACES}f} short"
    return (
        f"| {line.day} | {line.worth:.{PLACES}f} | {line.mark:.{PLACES}f}, {reached} |"
        f" {line.served:.{PLACES}f} | {line.windows:.{PLACES}f} | {prices} |"
    )


HEAD = """# The standard days of the users' platform

Made by `python -m bench.platform_days` from the last full scores in `journal/`, all of one commit, processor
time charged; a figure is the mean over these scores. Worth is the share of the credit owed that was served
(the whole day, the worst windows, the worst class and, at Sadaf, the worst zone, by the site's weights) less
the prices. The mark is what the site's day asks for at the most.

What binds, from the logs of single runs (`fleetbench replay SITE NAME --log front`):

- Heavy days: while some engines are silent and others load new weights, one to three of six serve
  (`scale-1`: 83d41efcb37cd158 in `docs/OPERATIONS.md`); the worst windows are these seconds and those
  around the final fault. Fewer loads at once moved the loss to old weights and cold caches (tried).
- Shared parts read again: each load empties an engine's cache, and requests of one prefix that reach
  several engines before the first has read it read it in each.
- Bytes between data centres: prompts of 18 kB that go where their prefix is held, and news. A trial without
  news, when they still went to each instance, put them at 0.013 of 0.042 at Magnolia Bend; since they cross
  once to each data centre the sum is 0.030 to 0.036, and the parts were not measured again.
"""


if __name__ == "__main__":
    sys.exit(main())
