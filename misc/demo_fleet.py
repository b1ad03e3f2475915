"""Settings, processes and addresses of the demo's fleets."""

import configparser
import json
import os
import re
import signal
import socket
import subprocess
import time

from demo_calls import http

LOAD_TIME_SCALE = 0.05
FIRST_PORT = 21000
PORTS_PER_DEMO = 1000
MAX_DEMOS = 10
READY_SECONDS = 20
STOP_SECONDS = 30

FLEETS = (
    {
        "name": "fast-start",
        "region": "north",
        "domains": ("regina", "saskatoon", "red-deer"),
        "models": ("drafting", 12),
        "service": ("orders", 3),
    },
    {
        "name": "low-idle",
        "region": "be-central",
        "domains": ("leuven", "mechelen", "namur"),
        "models": ("checking", 9),
        "service": ("records", 3),
    },
)


class Process:
    """A running program and its log file."""

    def __init__(self, name, role, command, log_path):
        self.name = name
        self.role = role
        self.log_path = log_path
        with open(log_path, "wb") as log:
            self.child = subprocess.Popen(command, stdout=log, stderr=log,
                                          start_new_session=True)

    def stop(self):
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGTERM)

    def wait(self, deadline):
        """Returns the exit code, or None when the process missed the deadline and was killed."""
        try:
            return self.child.wait(max(0.1, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()
            return None


class Ports:
    """Allocates loopback addresses. A listening socket on the first port of a range reserves the
    range, because two demos on the same ports would answer each other's calls."""

    def __init__(self):
        for index in range(MAX_DEMOS):
            self.next = FIRST_PORT + index * PORTS_PER_DEMO
            self.lock = socket.socket()
            try:
                self.lock.bind(("127.0.0.1", self.next))
                self.lock.listen(1)
                return
            except OSError:
                self.lock.close()
        raise SystemExit("demo: no free port range; stop another demo first")

    def address(self):
        self.next += 1
        return f"127.0.0.1:{self.next}"


def scaled_config(text):
    """The fleet configuration with the start rate of loads adapted to the demo's time scale."""
    rate = 2 / LOAD_TIME_SCALE
    return re.sub(r"(?m)^weight_loads_per_second = .*$",
                  f"weight_loads_per_second = {rate:g}", text)


class Fleet:
    """A fleet on loopback: stand-ins, agents and routers."""

    def __init__(self, plan, build, folder, ports):
        self.plan = plan
        self.name = plan["name"]
        self.build = build
        self.folder = os.path.join(folder, self.name)
        self.ports = ports
        self.processes = []
        self.routers = []
        self.agents = []
        self.engines = []
        self.services = []
        os.makedirs(self.folder, exist_ok=True)
        with open(os.path.join("examples", f"{self.name}.fleet.ini"), encoding="utf-8") as file:
            self.config_text = scaled_config(file.read())
        self.config_path = os.path.join(self.folder, "fleet.ini")
        with open(self.config_path, "w", encoding="utf-8") as file:
            file.write(self.config_text)
        self.config = configparser.ConfigParser(delimiters=("=",))
        self.config.optionxform = str
        self.config.read_string(self.config_text)

        self.keys = self.make_keys()

    def make_keys(self):
        """Generates keys; returns them by section: "keys" for agents, "keys NAME" for routers."""
        run = subprocess.run([self.program("shallotctl"), "keys",
                              *(f"router-{domain}" for domain in self.plan["domains"])],
                             capture_output=True, text=True, timeout=30, check=True)
        # Keys may contain "%", which ConfigParser would otherwise expand.
        keys = configparser.ConfigParser(delimiters=("=",), interpolation=None)
        keys.read_string(run.stdout)
        return {name: dict(keys[name]) for name in keys.sections()}

    def program(self, name):
        return os.path.join(self.build, name)

    def start(self, name, role, command):
        log = os.path.join(self.folder, f"{name}.log")
        process = Process(f"{self.name}/{name}", role, command, log)
        self.processes.append(process)
        return process

    def standin(self, name, role, *options):
        address = self.ports.address()
        self.start(name, "standin", [self.program("shallot_standin"), "--role", role,
                                     "--listen", address, *options])
        return address

    def daemon(self, name, program, settings):
        path = os.path.join(self.folder, f"{name}.ini")
        # The file holds secret keys.
        with open(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "w",
                  encoding="utf-8") as file:
            for section, values in settings.items():
                file.write(f"[{section}]\n")
                file.writelines(f"{key} = {value}\n" for key, value in values.items())
        role = "router" if program == "shallot_router" else "agent"
        return self.start(name, role, [self.program(program), "--config", path])

    def process_section(self, name, domain):
        return {"id": name, "failure_domain": domain, "region": self.plan["region"],
                "log_level": "info", "log_format": "text"}

    def start_standins(self):
        scale = str(LOAD_TIME_SCALE)
        self.platform = self.standin("platform", "platform", "--instance-lag-ms", "200")
        self.weights = self.standin("weights", "weights", "--time-scale", scale)
        backend, count = self.plan["models"]
        for index in range(count):
            runner = f"{backend}-{index + 1:02d}"
            # Every third engine does not check fencing numbers.
            extra = ["--ignore-fencing"] if index % 3 == 2 else []
            address = self.standin(f"engine-{runner}", "engine", "--weights", self.weights,
                                   "--time-scale", scale, *extra)
            self.engines.append({"runner": runner, "backend": backend, "address": address})
        backend, count = self.plan["service"]
        for index in range(count):
            runner = f"{backend}-{index + 1:02d}"
            address = self.standin(f"service-{runner}", "service")
            self.services.append({"runner": runner, "backend": backend, "address": address})
        for address in [self.platform, self.weights] + [
                each["address"] for each in self.engines + self.services]:
            wait_for(lambda at=address: http("GET", at, "/stats").status == 200, address)

    def apply_config(self):
        """Applies the configuration with shallotctl; returns its revision."""
        control = [self.program("shallotctl"), "--platform", self.platform, "--output", "json"]
        run = subprocess.run(control + ["config", "apply", self.config_path, "--author", "demo",
                                        "--reason", "First configuration of the demo"],
                             capture_output=True, text=True, timeout=30, check=False)
        if run.returncode != 0:
            raise RuntimeError(f"config apply failed ({run.returncode}): {run.stderr}")
        return json.loads(run.stdout)["revision"]

    def start_agents(self):
        domains = self.plan["domains"]
        for kind, backends in (("engine", self.engines), ("service", self.services)):
            for index, backend in enumerate(backends):
                self.start_agent(kind, backend, domains[index % len(domains)])

    def start_agent(self, kind, backend, domain):
        name = f"agent-{backend['runner']}"
        control, admin = self.ports.address(), self.ports.address()
        settings = {"control_address": control, "admin_address": admin,
                    "runner": backend["runner"], "backend": backend["backend"],
                    f"{kind}_address": backend["address"], "platform_address": self.platform}
        if kind == "engine":
            settings["weights_address"] = self.weights
        else:
            settings["service_concurrency"] = 16
        process = self.daemon(name, "shallot_agent",
                              {"process": self.process_section(name, domain), "agent": settings,
                               "keys": self.keys["keys"]})
        self.agents.append({"id": name, "control": control, "admin": admin, "domain": domain,
                            "runner": backend["runner"], "process": process})
        self.register(name, {"role": "agent", "address": control, "failure_domain": domain,
                             "region": self.plan["region"], "runner": backend["runner"],
                             "backend": backend["backend"], "leaving": False})

    def start_routers(self):
        for domain in self.plan["domains"]:
            name = f"router-{domain}"
            caller, peer, admin = (self.ports.address() for _ in range(3))
            settings = {"caller_address": caller, "peer_address": peer, "admin_address": admin,
                        "caller_threads": 64, "platform_address": self.platform}
            process = self.daemon(name, "shallot_router",
                                  {"process": self.process_section(name, domain),
                                   "router": settings, "keys": self.keys[f"keys {name}"]})
            self.routers.append({"id": name, "caller": caller, "peer": peer, "admin": admin,
                                 "domain": domain, "process": process})
            self.register(name, {"role": "router", "address": peer, "failure_domain": domain,
                                 "region": self.plan["region"], "runner": "", "backend": "",
                                 "leaving": False})

    def register(self, instance, record):
        http("PUT", self.platform, f"/instances/{instance}", json.dumps(record).encode())

    def wait_ready(self):
        for daemon in self.agents + self.routers:
            admin = daemon["admin"]
            wait_for(lambda at=admin: http("GET", at, "/readyz").status == 200, daemon["id"])

    def addresses(self):
        drop = lambda each: {key: value for key, value in each.items() if key != "process"}
        return {"platform": self.platform, "weights": self.weights,
                "engines": self.engines, "services": self.services,
                "routers": [drop(each) for each in self.routers],
                "agents": [drop(each) for each in self.agents]}

    def entries(self):
        """Catalogue entries by base model: {model: [adapters]}."""
        backend = self.plan["models"][0]
        catalog = {name: [] for name in self.config[f"models {backend}"]}
        for section in self.config.sections():
            if section.startswith("adapters "):
                catalog[section.split(" ", 1)[1]] = list(self.config[section])
        return catalog

    def max_replicas(self, entry):
        for section in self.config.sections():
            values = self.config[section]
            if values.get("target") == f"entry {entry}" and "max_replicas" in values:
                return int(values["max_replicas"])
        return int(self.config["defaults"]["max_replicas"])

    def stop(self, role):
        """Stops the processes of a role; returns a message for each that did not exit with 0."""
        chosen = [process for process in self.processes if process.role == role]
        for process in chosen:
            process.stop()
        deadline = time.monotonic() + STOP_SECONDS
        codes = [(process, process.wait(deadline)) for process in chosen]
        return [f"{process.name} exited with {'a kill' if code is None else code}, "
                f"see {process.log_path}" for process, code in codes if code != 0]


def wait_for(condition, what):
    """Waits until the condition holds; raises RuntimeError when it does not in time."""
    deadline = time.monotonic() + READY_SECONDS
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise RuntimeError(f"{what} was not ready within {READY_SECONDS} s")
