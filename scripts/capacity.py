"""Measures processor time and memory of fronts and brokers at several request rates and fits a line through them.

The slopes feed docs/CAPACITY.md. Each rate runs against one deployment in turn; processor time is read from /proc for
every process of the deployment, leaf work from the leaves' own records.
"""
import argparse
import json
import os
import pathlib
import time

from deployment import Deployment

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
SETTLE_S = 5
WARM_UP_S = 5


def processor_seconds(pid):
    """User and system time of a process so far."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def usage(deployment, kind):
    pids = [process.pid for name, process in deployment.processes.items() if name.startswith(kind + "-")]
    return {"processor_s": sum(processor_seconds(pid) for pid in pids), "count": len(pids),
            "memory_mb_max": round(max(resident_mb(pid) for pid in pids), 1)}


def fit(points):
    """Least squares line y = intercept + slope * x and the largest deviation from it."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0
    intercept = mean_y - slope * mean_x
    return {"slope": slope, "intercept": intercept,
            "largest_deviation": max(abs(y - intercept - slope * x) for x, y in points)}


def measure_rate(deployment, rate, seconds, seed):
    before_records = deployment.records()
    before = {kind: usage(deployment, kind) for kind in ("front", "broker")}
    begin = time.monotonic()
    if rate:
        report = deployment.load(rate, seconds, seed=seed)
    else:
        report = None
        time.sleep(seconds)
    elapsed = time.monotonic() - begin
    after = {kind: usage(deployment, kind) for kind in ("front", "broker")}
    started = sum(leaf["started"] for leaf in deployment.records()["leaves"].values())
    started -= sum(leaf["started"] for leaf in before_records["leaves"].values())
    point = {"rate": rate, "seconds": round(elapsed, 2), "leaf_requests_per_s": round(started / elapsed, 1)}
    if isinstance(report, dict) and "latency" in report:
        point["latency"] = report["latency"]
    for kind in ("front", "broker"):
        used = after[kind]["processor_s"] - before[kind]["processor_s"]
        point[kind] = {"cores_each": round(used / elapsed / after[kind]["count"], 5), "cores_all": round(used / elapsed, 4),
                       "memory_mb_max": after[kind]["memory_mb_max"]}
    return point


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="tesfa", choices=["tesfa", "saryarqa"])
    parser.add_argument("--rates", default="0,50,100,200,300", help="requests/s offered to all VMs together")
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--network", default="127.1")
    parser.add_argument("--out", type=pathlib.Path, required=True)
    arguments = parser.parse_args()
    points = []
    with Deployment(arguments.deployment, arguments.network, seed=arguments.seed) as deployment:
        time.sleep(SETTLE_S)
        deployment.load(50, WARM_UP_S, seed=arguments.seed + 1000)
        for rate in [float(text) for text in arguments.rates.split(",")]:
            points.append(measure_rate(deployment, rate, arguments.seconds, arguments.seed))
            print(json.dumps(points[-1]), flush=True)
    fits = {kind: fit([(point["leaf_requests_per_s"], point[kind]["cores_all"]) for point in points])
            for kind in ("front", "broker")}
    result = {"deployment": arguments.deployment, "points": points, "cores_per_leaf_request_per_s": fits}
    arguments.out.write_text(json.dumps(result, indent=1) + "\n")
    print(json.dumps(fits))


if __name__ == "__main__":
    main()
