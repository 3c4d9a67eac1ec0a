"""Starts, steers and stops a whole deployment on loopback; used by scripts/demo, scripts/measure and process tests."""
import json
import os
import pathlib
import signal
import subprocess
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / os.environ.get("BUILD_DIR", "build")
PLATFORM_PORT = 8500
ADMIN_PORT = 9100


def call(url, body=None, method=None, timeout=5):
    """HTTP status and text; status 0 if there was no answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError:
        return 0, ""


class Deployment:
    """All processes of one deployment at its stated size. Use it as a context manager."""

    def __init__(self, name, network="127.1", folder=None, leaf_options=None, warm=True, seed=1, front=None,
                 broker=None, hedge=True, environment=None, forward_platform=False):
        self.name = name
        self.network = network
        self.folder = pathlib.Path(folder or BUILD / "run" / f"{name}-{network}")
        self.config = self.folder / "config" / name
        self.leaf_options = leaf_options or {}
        self.warm = warm
        self.seed = seed
        self.overrides = {"front": front or {}, "broker": broker or {}}
        self.hedge = hedge
        self.environment = environment or {}
        self.forward_platform = forward_platform  # VMs reach the platform through standin-forwarder
        self.processes = {}  # by name: Popen
        self.logs = []
        self.problems = []  # processes that had to be killed or failed

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop(planned=False)
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    # ---- documents ----

    def document(self, key):
        return json.loads((self.config / f"{key}.json").read_text())

    def publish(self, key, document):
        document["generation"] = self.document(key)["generation"] + 1
        (self.config / f"{key}.json").write_text(json.dumps(document))
        call(f"http://{self.network}.3.1:{PLATFORM_PORT}/admin/keys/{key}", document, "PUT")

    def platform_mode(self, **mode):
        call(f"http://{self.network}.3.1:{PLATFORM_PORT}/admin/mode", mode)

    def centres(self):
        return list(dict.fromkeys(vm["data_centre"] for vm in self.document("vms")["vms"]))

    def leaves(self, centre=None):
        return [leaf["id"] for service in self.document("topology")["services"] for shard in service["shards"]
                for leaf in shard["leaves"] if centre in (None, leaf["data_centre"])]

    def vms(self):
        return [vm["id"] for vm in self.document("vms")["vms"]]

    def address(self, vm):
        return next(entry["address"] for entry in self.document("vms")["vms"] if entry["id"] == vm)

    # ---- leaves ----

    def admin(self, action, leaves=None, **arguments):
        """Acts on the given leaves (all if None) in every leaf host."""
        body = dict(arguments)
        if leaves is not None:
            body["leaves"] = leaves
        for index in range(len(self.centres())):
            call(f"http://{self.network}.2.{index + 1}:{ADMIN_PORT}/admin/{action}", body)

    def records(self):
        """What the leaves saw: {"leaves":{id:{...}},"operations":{id:runs},"terms":{term:runs}}."""
        merged = {"leaves": {}, "operations": {}, "terms": {}}
        for index in range(len(self.centres())):
            status, text = call(f"http://{self.network}.2.{index + 1}:{ADMIN_PORT}/admin/records", timeout=20)
            if status != 200:
                raise RuntimeError("leaf host did not return its records")
            part = json.loads(text)
            merged["leaves"].update(part["leaves"])
            for kind in ("operations", "terms"):
                for name, count in part[kind].items():
                    merged[kind][name] = merged[kind].get(name, 0) + count
        return merged

    def replicas(self):
        """Ids of the first leaves of all shards, then of the second ones, and so on."""
        shards = [shard["leaves"] for service in self.document("topology")["services"] for shard in service["shards"]]
        return [[leaves[place]["id"] for leaves in shards if place < len(leaves)]
                for place in range(max(len(leaves) for leaves in shards))]

    def advance(self, version, seconds):
        """Loads an index version into leaf after leaf; each keeps its newest two. All first replicas go first."""
        leaves = [leaf for group in self.replicas() for leaf in group]
        begin = time.monotonic()
        for number, leaf in enumerate(leaves):
            time.sleep(max(0, begin + seconds * number / len(leaves) - time.monotonic()))
            self.admin("advance", [leaf], version=version)

    def split_map(self, service_name):
        """The topology with the next map, in which two children of half its keys replace the service's first shard."""
        topology = self.document("topology")
        topology["generation"] += 1
        topology["partition_map_version"] += 1
        service = next(service for service in topology["services"] if service["name"] == service_name)
        parent = service["shards"].pop(0)
        middle = (parent["begin"] + (parent["end"] or 2**64)) // 2
        service["shards"][:0] = [{**parent, "id": parent["id"] + "-0", "end": middle},
                                 {**parent, "id": parent["id"] + "-1", "begin": middle}]
        return topology

    def adopt_map(self, topology, seconds):
        """Moves the leaves to the map of a published topology: leaf after leaf, all first replicas first.

        A leaf states one map only. Services without second replicas therefore change at once, at the end.
        """
        paired, single = [], []
        for service in topology["services"]:
            for shard in service["shards"]:
                group = paired if len(shard["leaves"]) > 1 else single
                group += [(place, leaf["id"]) for place, leaf in enumerate(shard["leaves"])]
        # Children share the leaves of their parent, so a leaf may be listed twice.
        leaves = list(dict.fromkeys(leaf for _, leaf in sorted(paired, key=lambda item: item[0])))
        begin = time.monotonic()
        for number, leaf in enumerate(leaves):
            time.sleep(max(0, begin + seconds * number / len(leaves) - time.monotonic()))
            self.admin("topology", [leaf], topology=topology)
        self.admin("topology", [leaf for _, leaf in single], topology=topology)

    # ---- processes ----

    def spawn(self, name, *command):
        log = open(self.folder / "logs" / f"{name}.log", "ab")
        self.logs.append(log)
        self.processes[name] = subprocess.Popen([str(part) for part in command], stdout=log, stderr=log,
                                                env={**os.environ, **self.environment})
        return self.processes[name]

    def start_daemon(self, kind, vm):
        return self.spawn(f"{kind}-{vm}", BUILD / "daemons" / f"ibishold-{kind}", "--settings",
                          self.config / f"{vm}.json")

    def start(self):
        (self.folder / "logs").mkdir(parents=True, exist_ok=True)
        for log in (self.folder / "logs").glob("*.log"):
            log.unlink()
        subprocess.run([ROOT / "scripts" / "make-config", "--deployment", self.name, "--network", self.network,
                        "--out", self.config.parent], check=True)
        for vm in self.vms():
            settings = json.loads((self.config / f"{vm}.json").read_text())
            settings["front"].update(self.overrides["front"])
            settings["broker"].update(self.overrides["broker"])
            if self.forward_platform:
                settings["platform"]["address"] = f"{self.network}.3.2"
            (self.config / f"{vm}.json").write_text(json.dumps(settings))
        if not self.hedge:
            table = self.document("table")
            for row in table["rows"]:
                row["hedge"] = False
            (self.config / "table.json").write_text(json.dumps(table))
        self.spawn("platform", BUILD / "standins" / "standin-platform", "--address", f"{self.network}.3.1",
                   "--port", PLATFORM_PORT, "--documents", self.config)
        if self.forward_platform:
            self.spawn("forwarder", BUILD / "standins" / "standin-forwarder",
                       "--listen", f"{self.network}.3.2:{PLATFORM_PORT}", "--to", f"{self.network}.3.1:{PLATFORM_PORT}",
                       "--admin", f"{self.network}.3.2:9200")
        for index, centre in enumerate(self.centres()):
            command = [BUILD / "standins" / "standin-leaf", "--topology", self.config / "topology.json",
                       "--data-centre", centre, "--admin-address", f"{self.network}.2.{index + 1}",
                       "--admin-port", ADMIN_PORT, "--seed", self.seed]
            command += ["--warm"] if self.warm else []
            for key, value in self.leaf_options.items():
                command += ["--set", f"{key}={value}"]
            self.spawn(f"leaves-{centre}", *command)
        for vm in self.vms():
            self.start_daemon("broker", vm)
        for vm in self.vms():
            self.start_daemon("front", vm)
        self.wait_ready(self.vms())

    def ready(self, vm):
        return call(f"http://{self.address(vm)}:8082/ready", timeout=1)[0] == 200

    def wait_ready(self, vms, limit_s=40):
        deadline = time.monotonic() + limit_s
        waiting = list(vms)
        while waiting:
            waiting = [vm for vm in waiting if not self.ready(vm)]
            dead = [name for name, process in self.processes.items() if process.poll() is not None]
            if dead:
                raise RuntimeError(f"ended at start: {dead}; see {self.folder / 'logs'}")
            if waiting and time.monotonic() > deadline:
                raise RuntimeError(f"not ready after {limit_s} s: {waiting}; see {self.folder / 'logs'}")
            time.sleep(0.1)

    def kill(self, name, number=signal.SIGKILL):
        """Sends a signal to one of this deployment's processes."""
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes.pop(name).wait()

    def end(self, names, limit_s=35):
        """Planned stop: SIGTERM, then waits. Returns the names that did not end with status 0 in time."""
        for name in names:
            self.processes[name].send_signal(signal.SIGTERM)
        deadline = time.monotonic() + limit_s
        failed = []
        for name in names:
            process = self.processes.pop(name)
            try:
                status = process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
                status = "killed after the limit"
            if status != 0:
                failed.append(name)
                self.problems.append(f"{name}: {status}")
        return failed

    def stop(self, planned=True):
        """Stops fronts, then brokers, then the stand-ins."""
        for kind in ("front-", "broker-", ""):
            names = [name for name in self.processes if name.startswith(kind)]
            for name in list(names):
                if self.processes[name].poll() is not None:
                    self.problems.append(f"{name}: ended early with {self.processes.pop(name).returncode}")
                    names.remove(name)
                elif not planned:
                    self.kill(name)
                    names.remove(name)
            self.end(names)
        for log in self.logs:
            log.close()
        self.logs = []

    # ---- load ----

    def start_load(self, out, rate, seconds, **arguments):
        command = [BUILD / "standins" / "ibishold-load", "--config", self.config, "--rate", rate, "--seconds", seconds,
                   "--out", out]
        for key, value in arguments.items():
            if value is True:
                command += [f"--{key.replace('_', '-')}"]
            elif value is not None:
                command += [f"--{key.replace('_', '-')}", value]
        return subprocess.Popen([str(part) for part in command])

    def load(self, rate, seconds, **arguments):
        """Runs load to its end and returns its report."""
        out = self.folder / "load.json"
        out.unlink(missing_ok=True)
        self.start_load(out, rate, seconds, **arguments).wait()
        return json.loads(out.read_text())
