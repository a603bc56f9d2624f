"""Run the routing policy benchmark, check its targets and write the results, plots and page."""

from __future__ import annotations

import os
import sys
import time
from dataclasses import asdict, fields
from multiprocessing import Pool
from pathlib import Path
from typing import Annotated

import numpy as np
import orjson
import typer

from bench.policy_report import draw_plots, format_table, write_page
from bench.policy_scenarios import PRODUCT, RULES, SCENARIOS, SCENARIOS_BY_NAME, RunMetrics, run_one
from bench.policy_targets import check_targets
from bench.policy_workload import DEPLOYMENTS

SEEDS = (1, 2, 3)
DEFAULT_WORKERS = 4
DEFAULT_OUTPUT = Path("docs")

Task = tuple[int, str, str, int]
Results = dict[str, dict[str, dict[str, RunMetrics]]]


def main(
    output: Annotated[Path, typer.Option(help="Directory of the page.")] = DEFAULT_OUTPUT,
    workers: Annotated[int, typer.Option(help="Processes to use.")] = DEFAULT_WORKERS,
    only: Annotated[str, typer.Option(help="Scenarios, separated by commas.")] = "",
    rules: Annotated[str, typer.Option(help="Rules, separated by commas.")] = "",
    write: Annotated[bool, typer.Option(help="Write the page and the plots.")] = True,
) -> None:
    """Run all scenarios under all rules; exit with 1 if a target is missed."""
    scenario_names = only.split(",") if only else [scenario.name for scenario in SCENARIOS]
    selected_rules = rules.split(",") if rules else list(RULES)
    started = time.perf_counter()
    results = _run_all(scenario_names, selected_rules, min(workers, os.cpu_count() or 1))
    print(f"seeds {SEEDS}, {time.perf_counter() - started:.0f} s")
    table = format_table(results)
    print(table)
    checks = check_targets(results) if selected_rules == list(RULES) else []
    for check in checks:
        print(check.line)
    if write:
        _write(output, results, checks)
    missed = sum(not check.met for check in checks)
    print(f"{len(checks) - missed} targets met, {missed} missed")
    sys.exit(1 if missed else 0)


def _run_all(scenario_names: list[str], rules: list[str], workers: int) -> Results:
    tasks: list[Task] = [
        (deployment_index, name, rule, seed)
        for rule in sorted(rules, key=lambda rule: rule != PRODUCT)
        for name in scenario_names
        for deployment_index in range(len(DEPLOYMENTS))
        for seed in SEEDS
    ]
    with Pool(workers) as pool:
        metrics = pool.map(_run_task, tasks, chunksize=1)
    runs: dict[tuple[int, str, str], list[RunMetrics]] = {}
    for (deployment_index, name, rule, _), run_metrics in zip(tasks, metrics, strict=True):
        runs.setdefault((deployment_index, name, rule), []).append(run_metrics)
    return {
        deployment.name: {
            name: {rule: _mean(runs[deployment_index, name, rule]) for rule in rules}
            for name in scenario_names
        }
        for deployment_index, deployment in enumerate(DEPLOYMENTS)
    }


def _run_task(task: Task) -> RunMetrics:
    deployment_index, name, rule, seed = task
    return run_one(DEPLOYMENTS[deployment_index], SCENARIOS_BY_NAME[name], rule, seed)


def _mean(runs: list[RunMetrics]) -> RunMetrics:
    """Average the metrics over the seeds, and the series window by window."""
    values = {
        field.name: float(np.mean([getattr(run, field.name) for run in runs]))
        for field in fields(RunMetrics)
        if field.name != "series"
    }
    length = min(len(run.series) for run in runs)
    series = tuple(
        (runs[0].series[n][0], float(np.mean([run.series[n][1] for run in runs])))
        for n in range(length)
    )
    return RunMetrics(**values, series=series)  # type: ignore[arg-type]


def _write(output: Path, results: Results, checks: list) -> None:
    directory = output / "benchmarks"
    directory.mkdir(parents=True, exist_ok=True)
    plain = {
        deployment: {
            name: {rule: _round(metrics) for rule, metrics in by_rule.items()}
            for name, by_rule in by_name.items()
        }
        for deployment, by_name in results.items()
    }
    content = {"seeds": SEEDS, "results": plain, "targets": [asdict(check) for check in checks]}
    options = orjson.OPT_INDENT_2
    (directory / "policy.json").write_bytes(orjson.dumps(content, option=options) + b"\n")
    draw_plots(directory, results)
    write_page(output / "benchmarks.md", results, checks, SEEDS)


def _round(metrics: RunMetrics) -> dict[str, float]:
    values = asdict(metrics)
    del values["series"]
    return {name: round(value, 4) for name, value in values.items()}


if __name__ == "__main__":
    typer.run(main)
