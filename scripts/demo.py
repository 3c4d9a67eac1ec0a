"""Starts a deployment, sends queries and one non-repeatable request, prints the answers, stops it."""
import argparse
import sys

from deployment import Deployment


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="tesfa", choices=["tesfa", "saryarqa"])
    parser.add_argument("--network", default="127.1")
    arguments = parser.parse_args()
    deployment = Deployment(arguments.deployment, arguments.network, warm=False)
    mistakes = []
    with deployment:
        print(f"{arguments.deployment}: {len(deployment.vms())} VMs ready, {len(deployment.leaves())} leaves, all cold")
        queries = deployment.load(10, 60, count=12, execute_share=0, show=True, deadline_ms=2000)
        order = deployment.load(10, 60, count=1, execute_share=1, show=True, deadline_ms=2000)
        runs = deployment.records()["operations"]
        print(f"runs of the non-repeatable request, as the leaves recorded them: {runs}")
        mistakes += queries["mistakes"] + order["mistakes"]
        if queries["answered"] != 12 or order["executed"] != 1:
            mistakes.append(f"answered {queries['answered']} of 12 queries and {order['executed']} of 1 request: "
                            f"{queries['errors']} {order['errors']}")
        if list(runs.values()) != [1]:
            mistakes.append(f"the non-repeatable request ran {runs}")
        print("stopping")
    mistakes += deployment.problems
    for mistake in mistakes:
        print(f"WRONG: {mistake}", file=sys.stderr)
    print("demo failed" if mistakes else "demo passed: all answers right, all processes ended by themselves")
    return 1 if mistakes else 0


if __name__ == "__main__":
    sys.exit(main())
