"""Failures of whole processes under load, on a deployment of the stated size.

Each case says which failure it guards against. Common to all: no wrong answer, no misstated coverage, no second run
of a non-repeatable request and no "not run" for a request that ran, by the leaves' own records.
"""
import argparse
import json
import math
import pathlib
import signal
import sys
import time
import urllib.error
import urllib.request

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from deployment import Deployment, call  # noqa: E402

FAILURES = []


def expect(condition, text):
    print(("ok: " if condition else "FAILED: ") + text, flush=True)
    if not condition:
        FAILURES.append(text)


def under_load(deployment, rate, seconds, action, **arguments):
    """Runs the action one second after the load began; returns the load's report."""
    out = deployment.folder / "load.json"
    out.unlink(missing_ok=True)
    load = deployment.start_load(out, rate, seconds, **arguments)
    try:
        time.sleep(1)
        action()
        load.wait(seconds + 60)
    finally:
        if load.poll() is None:
            load.kill()
            load.wait()
    report = json.loads(out.read_text())
    runs = deployment.records()
    doubled = [name for name, ids in report["operations"].items() if sum(runs["operations"].get(i, 0) for i in ids) > 1]
    false_not_run = [i for i in report["not_run_operations"] if runs["operations"].get(i, 0)]
    false_not_run += [term for term in report["not_run_terms"] if runs["terms"].get(term, 0)]
    print(f"offered {report['offered']}, answered {report['answered']}, given up {report['given_up']}, "
          f"coverage {report['coverage_mean']:.4f}, not full {report['not_full_reasons']}, errors {report['errors']}")
    for request in report["given_up_requests"][:3]:
        print(f"given up: {request}")
    expect(report["wrong_answers"] == 0, f"no wrong answer {report['mistakes'][:3]}")
    expect(report["coverage_misstated"] == 0, "no misstated coverage")
    expect(not doubled, f"no non-repeatable request ran twice {doubled[:3]}")
    expect(not false_not_run, f"no request with verdict not_run had run {false_not_run[:3]}")
    return report


def answered_share(report):
    return report["answered"] / max(1, report["offered"])


def front_kill(deployment):
    """A front that dies takes only its own callers' requests with it."""
    report = under_load(deployment, 80, 8, lambda: deployment.kill(f"front-{deployment.vms()[3]}"))
    expect(answered_share(report) > 0.97, "callers are answered by the other fronts")


def broker_kill(deployment):
    """The leaves of a dead broker are reached through their other owner."""
    report = under_load(deployment, 80, 10, lambda: deployment.kill(f"broker-{deployment.vms()[3]}"))
    expect(answered_share(report) > 0.97, "requests are answered without the broker")
    late = report["timeline"][5:9]
    expect(min(second["coverage"] for second in late) > 0.999, "coverage is full again 5 s later")


def broker_pause(deployment):
    """A broker that pauses and resumes late acts on no outdated view."""
    broker = f"broker-{deployment.vms()[3]}"

    def action():
        deployment.kill(broker, signal.SIGSTOP)
        time.sleep(7)
        deployment.kill(broker, signal.SIGCONT)
    report = under_load(deployment, 80, 14, action)
    expect(answered_share(report) > 0.97, "requests are answered while the broker is paused")
    expect(min(second["coverage"] for second in report["timeline"][11:13]) > 0.999, "coverage is full after it resumed")
    before = sum(leaf["cold_overload"] for leaf in deployment.records()["leaves"].values())
    expect(before == 0, "no leaf got more than it can handle")


def silent_leaf(deployment):
    """Open connections to leaves that go silent are replaced; new ones work."""
    leaves = deployment.leaves()[::4]
    report = under_load(deployment, 80, 10, lambda: deployment.admin("silence", leaves))
    expect(answered_share(report) > 0.97, "requests are answered in spite of silent connections")
    expect(min(second["coverage"] for second in report["timeline"][6:9]) > 0.999, "coverage is full again 5 s later")


def silent_platform(deployment):
    """A watch on a connection that went silent must not delay a publication beyond 6 s."""
    forwarder = f"http://{deployment.network}.3.2:9200"
    centre = deployment.centres()[1]

    def action():
        call(f"{forwarder}/admin/silence", {"on": True})
        table = deployment.document("table")
        for row in table["rows"]:
            row["state"] = "out" if row["data_centre"] == centre else row["state"]
        table["base"] = table["generation"]
        deployment.publish("table", table)
        time.sleep(6)
        before = deployment.records()["leaves"]
        time.sleep(1)
        after = deployment.records()["leaves"]
        late = [leaf for leaf in deployment.leaves(centre) if after[leaf]["received"] > before[leaf]["received"]]
        expect(not late, f"6 s after the publication no leaf of {centre} receives work {late[:3]}")
    under_load(deployment, 80, 10, action)


def rolling_stop(deployment):
    """A planned stop of every VM, five at a time, interrupts no request."""
    def action():
        vms = deployment.vms()
        for first in range(0, len(vms), 5):
            group = vms[first:first + 5]
            deployment.end([f"front-{vm}" for vm in group])
            deployment.end([f"broker-{vm}" for vm in group])
            for vm in group:
                deployment.start_daemon("broker", vm)
                deployment.start_daemon("front", vm)
            deployment.wait_ready(group)
        rolled.append(True)
    rolled = []
    begin = time.monotonic()
    report = under_load(deployment, 60, 32, action)
    print(f"all VMs were restarted and the load ended after {time.monotonic() - begin:.1f} s")
    expect(bool(rolled), "all VMs were restarted")
    expect(not deployment.problems, f"all processes ended by themselves {deployment.problems}")
    expect(report["cut"] == 0, "no request was cut off")
    expect(report["errors"].get("timeout", 0) == 0, "no request was left without an answer")
    expect(report["answered"] == report["offered"], "every request was answered")
    expect(report["coverage_mean"] > 0.999, "coverage stayed full")


def ask(deployment, vm, service, query):
    """Sends one query to the front of a VM; returns the HTTP status and the answer's JSON."""
    # Without spaces, as the load program writes it: the fingerprint of a request is a hash of its bytes.
    body = json.dumps({"query": query}, separators=(",", ":")).encode()
    request = urllib.request.Request(f"http://{deployment.address(vm)}:8080/v1/services/{service}/query", data=body,
                                     headers={"Content-Type": "application/json", "X-Deadline-Ms": "500",
                                              "X-Tenant": "tenant-0", "X-Class": "interactive"})
    try:
        with urllib.request.urlopen(request, timeout=5) as answer:
            return answer.status, json.loads(answer.read())
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read())


def crash_query(deployment):
    """A query that crashes every leaf that runs it takes down the leaves of one fan-out and two more, not the service.

    Without the quarantine each of its sendings costs the leaves of a whole fan-out; without its reports to peers each
    front loses one.
    """
    fan_out = len(next(service for service in deployment.document("topology")["services"]
                       if service["name"] == "design-find")["shards"])
    # Stated before any run (design 5.5): one fan-out with its hedges, 4 % of 20 requests, then two single leaves.
    bound = fan_out + math.ceil(0.04 * fan_out) + 2
    out = deployment.folder / "crash-load.json"
    out.unlink(missing_ok=True)
    before = sum(leaf["crashes"] for leaf in deployment.records()["leaves"].values())
    callers = []

    def action():
        callers.append(deployment.start_load(out, 20, 12, seed=2, execute_share=0, service="design-find",
                                             crash_term="crash"))
        callers[0].wait(12 + 60)
    try:
        report = under_load(deployment, 60, 16, action)
    finally:
        if callers and callers[0].poll() is None:
            callers[0].kill()
            callers[0].wait()
    crashing = json.loads(out.read_text())
    # The load program sends it as the first query of each second and does not repeat it.
    sent = len(crashing["timeline"])
    records = deployment.records()
    crashes = sum(leaf["crashes"] for leaf in records["leaves"].values()) - before
    print(f"sent {sent} times, ran {records['terms'].get('crash', 0)} times, {crashes} leaf crashes, bound {bound}; "
          f"other requests of its caller: offered {crashing['offered'] - sent}, given up {crashing['given_up']}, "
          f"errors {crashing['errors']}")
    expect(sent >= 10, "the query was sent again and again")
    expect(1 <= records["terms"].get("crash", 0) <= bound, f"the query ran at most {bound} times")
    expect(1 <= crashes <= bound, f"at most {bound} leaves crashed")
    cold = sum(leaf["cold_overload"] for leaf in records["leaves"].values())
    expect(cold == 0, "no leaf that restarted got more than it can handle")
    expect(crashing["wrong_answers"] == 0, f"no wrong answer beside the query {crashing['mistakes'][:3]}")
    expect(crashing["coverage_misstated"] == 0, "no misstated coverage beside the query")
    expect(answered_share(report) > 0.97, "requests to all services are answered")
    expect(1 - crashing["given_up"] / (crashing["offered"] - sent) > 0.97, "the caller's other queries are answered")
    expect(min(second["coverage"] for second in report["timeline"][12:15]) > 0.999, "coverage is full at the end")
    refusals = [ask(deployment, vm, "design-find", {"term": "crash"}) for vm in deployment.vms()]
    refused = [status == 503 and answer["error"] == "quarantined" and answer["verdict"] == "not_run" and
               500_000 < answer["retry_after_ms"] <= 600_000 for status, answer in refusals]
    expect(all(refused), f"every front refuses the query for the rest of 10 minutes {refusals[:1]}")
    after = sum(leaf["crashes"] for leaf in deployment.records()["leaves"].values()) - before
    expect(after == crashes, "a refused query crashes no leaf")


def expect_snapshot(deployment, index_version, map_version):
    """Every front answers every service completely from the newest snapshot, at the latest when asked again."""
    services = [service["name"] for service in deployment.document("topology")["services"]]
    waiting = [(vm, service) for vm in deployment.vms() for service in services]
    wanted = {"index_version": index_version, "partition_map_version": map_version}
    for _ in range(4):
        behind = []
        for vm, service in waiting:
            status, answer = ask(deployment, vm, service, {"term": f"snapshot-{vm}"})
            if status != 200 or answer["snapshot"] != wanted or answer["coverage"]["fraction"] != 1:
                behind.append((vm, service, status, answer.get("snapshot"), answer.get("coverage", {}).get("fraction")))
        waiting = [(vm, service) for vm, service, *_ in behind]
        if not waiting:
            break
        time.sleep(1)
    expect(not waiting, f"all fronts answer from index {index_version}, map {map_version} {behind[:3]}")


def version_change(deployment):
    """Queries that run while leaves change their index versions mix no versions and lose no coverage for good.

    Three versions in a row, so that leaves drop the version to which fronts still pin queries.
    """
    first = deployment.document("topology")["services"][0]["index_version"]

    def action():
        for version in range(first + 1, first + 4):
            deployment.advance(version, 3)
    report = under_load(deployment, 80, 16, action)
    print(f"coverage by second {[round(second['coverage'], 4) for second in report['timeline']]}")
    expect(answered_share(report) > 0.97, "requests are answered during the change")
    expect(min(second["coverage"] for second in report["timeline"][12:15]) > 0.999, "coverage is full after the change")
    expect_snapshot(deployment, first + 3, 1)


def map_change(deployment):
    """A shard that is split while queries run is counted once: as the parent or as its children."""
    topology = deployment.split_map("design-find")
    file = deployment.folder / "next-topology.json"
    file.write_text(json.dumps(topology))

    def action():
        deployment.publish("topology", topology)
        time.sleep(6)  # accepted documents are in force everywhere
        deployment.adopt_map(topology, 6)
    report = under_load(deployment, 80, 22, action, next_topology=file)
    print(f"coverage by second {[round(second['coverage'], 4) for second in report['timeline']]}")
    expect(answered_share(report) > 0.97, "requests are answered during the change")
    expect(min(second["coverage"] for second in report["timeline"][18:21]) > 0.999, "coverage is full after the change")
    expect_snapshot(deployment, topology["services"][0]["index_version"], topology["partition_map_version"])


CASES = {"front-kill": front_kill, "broker-kill": broker_kill, "broker-pause": broker_pause,
         "silent-leaf": silent_leaf, "silent-platform": silent_platform, "rolling-stop": rolling_stop,
         "crash-query": crash_query, "version-change": version_change, "map-change": map_change}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("case", choices=sorted(CASES))
    parser.add_argument("--network", default="127.11")
    arguments = parser.parse_args()
    deployment = Deployment("saryarqa", arguments.network, forward_platform=arguments.case == "silent-platform")
    with deployment:
        deployment.load(40, 3, seed=1000)
        CASES[arguments.case](deployment)
    expect(not deployment.problems, f"planned stop of everything {deployment.problems}")
    return 1 if FAILURES else 0


if __name__ == "__main__":
    sys.exit(main())
