"""Runs one scenario against a whole deployment and writes one JSON object.

Counts of upstream work, runs and overloads come from the leaves' own records, latencies and coverage from the
callers' side.
"""
import argparse
import json
import pathlib
import signal
import subprocess
import sys
import time

from deployment import ROOT, Deployment

# Broker and front settings of a policy, and whether the table allows hedging.
POLICIES = {
    "owned": {},
    "direct": {"broker": {"policy": "direct"}},
    "no-hedge": {"hedge": False},
    "no-warmup": {"broker": {"warm_up": False}},
}
LEAF_OPTIONS = {
    "steady": {},
    # Slower leaves, so that they and not the machine are the limit: about 370 requests/s in all.
    "overload": {"median_ms": 30},
    "cold-restart": {}, "upstream-drain": {}, "vm-loss": {}, "dc-out-and-back": {},
    "version-change": {}, "map-change": {},
    "stragglers": {"straggler_share": 0.05, "straggler_factor": 8},
}
WARM_UP_S = 5


def some_leaves(deployment, share):
    """Every n-th leaf, so that all services and data centres take part."""
    return deployment.leaves()[::max(1, round(1 / share))]


def set_state(deployment, centre, state):
    table = deployment.document("table")
    for row in table["rows"]:
        if row["data_centre"] == centre:
            row["state"] = state
    table["base"] = table["generation"]
    deployment.publish("table", table)


def act(deployment, scenario, seconds, begin, events, next_topology):
    """Performs the scenario's steps at their times while the load runs."""
    def at(share, text):
        time.sleep(max(0, begin + share * seconds - time.monotonic()))
        events.append({"second": round(time.monotonic() - begin, 2), "event": text})

    if scenario == "cold-restart":
        leaves = some_leaves(deployment, 0.25)
        at(0.3, f"{len(leaves)} leaves restart cold")
        deployment.admin("crash", leaves)
    elif scenario == "upstream-drain":
        leaves = some_leaves(deployment, 0.1)
        at(0.2, f"{len(leaves)} leaves announce a drain")
        deployment.admin("drain", leaves, on=True)
        at(0.7, "drained leaves stop and start cold")
        deployment.admin("stop", leaves)
        deployment.admin("start", leaves)
    elif scenario == "vm-loss":
        lost = deployment.vms()[4:6]
        at(0.3, f"{lost} are killed")
        for vm in lost:
            deployment.kill(f"front-{vm}")
            deployment.kill(f"broker-{vm}")
        at(0.5, "the platform removes them from its list")
        vms = deployment.document("vms")
        vms["vms"] = [vm for vm in vms["vms"] if vm["id"] not in lost]
        deployment.publish("vms", vms)
    elif scenario == "dc-out-and-back":
        centre = deployment.centres()[1]
        at(0.2, f"{centre} is taken out")
        set_state(deployment, centre, "out")
        deployment.admin("announce-out", deployment.leaves(centre), on=True)
        at(0.65, f"{centre} is taken in")
        deployment.admin("announce-out", deployment.leaves(centre), on=False)
        set_state(deployment, centre, "in")
    elif scenario == "version-change":
        newest = deployment.document("topology")["services"][0]["index_version"]
        # Twice, because leaves keep two versions: the second change drops the one that fronts begin with.
        at(0.2, "leaves load an index version one after the other")
        deployment.advance(newest + 1, 0.25 * seconds)
        at(0.5, "leaves load another one and drop the oldest")
        deployment.advance(newest + 2, 0.25 * seconds)
    elif scenario == "map-change":
        at(0.1, "a map with a split shard is published")
        deployment.publish("topology", next_topology)
        at(0.4, "leaves adopt it one after the other")
        deployment.adopt_map(next_topology, 0.3 * seconds)
    events.append({"second": round(time.monotonic() - begin, 2), "event": "end of the steps"})


def sum_of(records, key):
    return sum(leaf[key] for leaf in records["leaves"].values())


def count(deployment, report, before, after, events, arguments):
    def difference(key):
        return sum_of(after, key) - sum_of(before, key)
    before_crashes = sum(leaf["crashes"] for leaf in before["leaves"].values())
    runs = after["operations"]
    useful = report["useful_shards"] + report["executed"]
    started = difference("started")
    doubled = [name for name, ids in report["operations"].items() if sum(runs.get(i, 0) for i in ids) > 1]
    false_not_run = [i for i in report["not_run_operations"] if runs.get(i, 0) > 0]
    false_not_run += [term for term in report["not_run_terms"] if after["terms"].get(term, 0) > 0]
    result = {
        "scenario": arguments.scenario, "deployment": arguments.deployment, "policy": arguments.policy,
        "seed": arguments.seed, "rate": arguments.rate, "seconds": arguments.seconds,
        "execute_share": arguments.execute_share, "deadline_ms": arguments.deadline_ms,
        "commit": subprocess.run(["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True,
                                 text=True).stdout.strip(),
        "offered_rate": report["offered_rate"], "answered_rate": report["answered_rate"],
        "given_up": report["given_up"], "cut": report["cut"], "errors": report["errors"],
        "latency": report["latency"],
        "coverage_mean": report["coverage_mean"], "not_full_reasons": report["not_full_reasons"],
        "coverage_misstated": report["coverage_misstated"],
        "extra_load_ratio": round(started / useful, 4) if useful else None,
        "upstream_received": difference("received"), "upstream_started": started, "useful_work": useful,
        "upstream_shed": difference("shed"), "cold_overloads": difference("cold_overload"),
        "leaf_crashes": sum_of(after, "crashes") - before_crashes,
        "connections_refused": difference("connections_refused"),
        "double_runs": len(doubled), "false_not_run": len(false_not_run),
        "wrong_answers": report["wrong_answers"], "mistakes": report["mistakes"],
        "late_new_work": difference("late_work"),
        "late_new_work_s": round(max((leaf["last_work_after_announce_s"] for leaf in after["leaves"].values()),
                                     default=0), 2),
        "problems": deployment.problems, "events": events, "timeline": report["timeline"],
    }
    return result


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", required=True, choices=["tesfa", "saryarqa"])
    parser.add_argument("--scenario", required=True, choices=sorted(LEAF_OPTIONS))
    parser.add_argument("--policy", default="owned", choices=sorted(POLICIES))
    parser.add_argument("--rate", type=float, required=True, help="requests/s offered to all VMs together")
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--deadline-ms", type=int, default=500)
    parser.add_argument("--execute-share", type=float, default=0.1, help="non-repeatable requests, 0..1")
    parser.add_argument("--network", default="127.1")
    parser.add_argument("--out", type=pathlib.Path, required=True)
    arguments = parser.parse_args()
    policy = POLICIES[arguments.policy]
    deployment = Deployment(arguments.deployment, arguments.network, leaf_options=LEAF_OPTIONS[arguments.scenario],
                            seed=arguments.seed, broker=policy.get("broker"), front=policy.get("front"),
                            hedge=policy.get("hedge", True))
    events = []
    with deployment:
        # Brokers treat leaves that they do not know as cold, so the measured time begins after a warm-up.
        deployment.load(arguments.rate / 2, WARM_UP_S, seed=arguments.seed + 1000,
                        execute_share=arguments.execute_share)
        before = deployment.records()
        next_topology = None
        next_file = deployment.folder / "next-topology.json"
        if arguments.scenario == "map-change":
            next_topology = deployment.split_map(deployment.document("topology")["services"][0]["name"])
            next_file.write_text(json.dumps(next_topology))
        out = deployment.folder / "load.json"
        out.unlink(missing_ok=True)
        load = deployment.start_load(out, arguments.rate, arguments.seconds, seed=arguments.seed,
                                     deadline_ms=arguments.deadline_ms, execute_share=arguments.execute_share,
                                     next_topology=next_file if next_topology else None)
        try:
            act(deployment, arguments.scenario, arguments.seconds, time.monotonic(), events,
                next_topology)
            load.wait(arguments.seconds + 60)
        finally:
            if load.poll() is None:
                load.send_signal(signal.SIGKILL)
                load.wait()
        report = json.loads(out.read_text())
        result = count(deployment, report, before, deployment.records(), events, arguments)
    result["problems"] = deployment.problems
    arguments.out.write_text(json.dumps(result, indent=1) + "\n")
    print(json.dumps({key: value for key, value in result.items() if key not in ("timeline", "events")}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
