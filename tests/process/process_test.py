"""Failures of whole processes under load, on a deployment of the stated size.

Each case says which failure it guards against. Common to all: no wrong answer, no misstated coverage, no second run
of a non-repeatable request and no "not run" for a request that ran, by the leaves' own records.
"""
import argparse
import json
import pathlib
import signal
import sys
import time

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
          f"coverage {report['coverage_mean']:.4f}, errors {report['errors']}")
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


CASES = {"front-kill": front_kill, "broker-kill": broker_kill, "broker-pause": broker_pause,
         "silent-leaf": silent_leaf, "silent-platform": silent_platform, "rolling-stop": rolling_stop}


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
