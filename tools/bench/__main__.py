"""``python -m bench``: compares three policies on the same arrivals."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from bench.baselines import create_first_fit_by_count, create_quota_by_count
from bench.measures import Measures
from bench.simulation import Policy, Simulation
from bench.tick_cost import measure_tick_cost
from bench.workload import (
    Workload,
    create_bureau,
    create_software_house,
    offered_load,
)
from egretloft._internal.scheduling.scheduler import create_scheduler
from egretloft._internal.scheduling.settings import SchedulerSettings

POLICIES: dict[str, Callable[[], Policy]] = {
    "egretloft": lambda: create_scheduler(SchedulerSettings(), 1),
    "first_fit_by_count": create_first_fit_by_count,
    "quota_by_count": create_quota_by_count,
}
DEPLOYMENTS: dict[str, Callable[[int, float, float], Workload]] = {
    "bureau": create_bureau,
    "software_house": create_software_house,
}
TABLE_ROWS = (
    ("completion mean s", "completion_seconds", "mean"),
    ("completion p50 s", "completion_seconds", "p50"),
    ("completion p99 s", "completion_seconds", "p99"),
    ("wait mean s", "wait_seconds", "mean"),
    ("largest gangs: wait mean s", "large_wait_seconds", "mean"),
    ("largest gangs: wait p99 s", "large_wait_seconds", "p99"),
    ("guaranteed gangs", "guaranteed_gangs", ""),
    ("guarantee misses", "guarantee_misses", ""),
    ("  while a zone is out", "guarantee_misses_while_zone_out", ""),
    ("reclaim p99 s", "reclaim_seconds", "p99"),
    ("fragmentation mean", "fragmentation_mean", ""),
    ("use mean", "use_mean", ""),
    ("use while zone out", "use_while_zone_out_mean", ""),
    ("completed while zone out", "completed_while_zone_out", ""),
    ("preemptions", "preemptions", ""),
    ("wasted by preemption acc h", "wasted_by_preemption_accelerator_hours", ""),
    ("good jobs ended", "good_jobs_ended", ""),
    ("failed", "failed", ""),
    ("unfinished", "unfinished", ""),
    ("tick p99 s", "tick_seconds", "p99"),
)


def print_table(
    console: Console, title: str, results: dict[str, dict[str, object]]
) -> None:
    """Print the measures of all policies side by side."""
    table = Table(title=title)
    table.add_column("measure")
    for name in results:
        table.add_column(name, justify="right")
    for label, key, part in TABLE_ROWS:
        cells = []
        for result in results.values():
            value = result[key]
            if isinstance(value, dict):
                value = value[part]
            cells.append(f"{value:g}")
        table.add_row(label, *cells)
    for size in ("1", "2-4", "5-8", "9-16", "17+"):
        cells = []
        for result in results.values():
            by_size = result["completion_seconds_by_size"]
            assert isinstance(by_size, dict)
            measures = by_size.get(size, {})
            times = (measures.get(each, 0.0) for each in ("mean", "p99"))
            cells.append(" / ".join(f"{each:.1f}" for each in times))
        table.add_row(f"completion mean / p99 s, size {size}", *cells)
    console.print(table)


def run_policy(
    deployment: str, policy: str, seed: int, hours: float, load: float
) -> Measures:
    """Simulate one policy on one workload."""
    workload = DEPLOYMENTS[deployment](seed, hours, load)
    return Simulation(workload, POLICIES[policy](), seed).run()


@click.command()
@click.option("--seed", default=20_261, show_default=True, help="First seed.")
@click.option("--runs", default=3, show_default=True, help="Seeds per deployment.")
@click.option("--hours", default=4.0, show_default=True, help="Hours of arrivals.")
@click.option("--load", default=1.0, show_default=True, help="Factor on all rates.")
@click.option("--jobs", default=3, show_default=True, help="Processes.")
@click.option("--deployment", type=click.Choice([*DEPLOYMENTS, "all"]), default="all")
@click.option("--policy", type=click.Choice([*POLICIES, "all"]), default="all")
@click.option("--output", default="docs/bench.json", show_default=True)
def main(
    seed: int,
    runs: int,
    hours: float,
    load: float,
    jobs: int,
    deployment: str,
    policy: str,
    output: str,
) -> None:
    """Simulate the policies, print the measures and write them as JSON."""
    console = Console(width=120)
    started = time.perf_counter()
    seeds = [seed + index for index in range(runs)]
    document: dict[str, object] = {"seeds": seeds, "hours": hours, "load": load}
    deployments = [name for name in DEPLOYMENTS if deployment in (name, "all")]
    policies = [name for name in POLICIES if policy in (name, "all")]
    if deployment == policy == "all":
        # Runs before the processes start, since they would slow down its ticks.
        document["tick_cost"] = cost = measure_tick_cost(seed)
        console.print(cost)
    with ProcessPoolExecutor(jobs) as executor:
        futures = {
            (name, policy_name, each): executor.submit(
                run_policy, name, policy_name, each, hours, load
            )
            for name in deployments
            for policy_name in policies
            for each in seeds
        }
        for name in deployments:
            loads = [
                round(offered_load(DEPLOYMENTS[name](each, hours, load)), 3)
                for each in seeds
            ]
            results: dict[str, dict[str, object]] = {}
            for policy_name in policies:
                total = futures[name, policy_name, seeds[0]].result()
                for each in seeds[1:]:
                    total.add(futures[name, policy_name, each].result())
                results[policy_name] = total.as_dict()
            document[name] = {"offered_loads": loads, "policies": results}
            print_table(console, f"{name}, offered loads {loads}", results)
    console.print(f"{time.perf_counter() - started:.0f} s")
    if output:
        Path(output).write_text(json.dumps(document, indent=2) + "\n")


if __name__ == "__main__":
    main()
