#!/usr/bin/env python3
"""Starts both example fleets on loopback, makes calls of every class through all routers, checks
the invariants of the system and drains all processes. Exits with 1 when a check failed."""

import argparse
import json
import os
import re
import signal
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from demo_calls import Caller, http, print_table
from demo_fleet import FLEETS, Fleet, Ports

VIOLATION = re.compile(r'^shallot_invariant_violations_total\{invariant="(\w+)"\} (\d+)$', re.M)


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build", help="folder of the built programs")
    parser.add_argument("--keep", action="store_true", help="run until interrupted")
    return parser.parse_args()


def cold_bursts(caller):
    """Simultaneous first calls to several models and adapters, through all routers."""
    calls = []
    for model, adapters in list(caller.fleet.entries().items())[:6]:
        for entry in [model] + adapters[:1]:
            calls += [lambda at=index, entry=entry: caller.complete(at, entry, "interactive")
                      for index in range(6)]
    return caller.run_all(calls, threads=72)


def mixed_calls(caller):
    """Calls of every class, streamed and not, to warm and idle entries."""
    models = list(caller.fleet.entries().items())
    calls = []
    for index in range(60):
        model, adapters = models[index % 10]
        entry = adapters[index % len(adapters)] if adapters and index % 2 else model
        for offset, (call_class, tokens) in enumerate(
                (("premium", 16), ("interactive", 24), ("manuscript", 64), ("batch", 8))):
            calls.append(lambda at=index + offset, entry=entry, call_class=call_class,
                         tokens=tokens, stream=(index + offset) % 2 == 0, chat=index % 3 > 0:
                         caller.complete(at, entry, call_class, tokens=tokens, stream=stream,
                                         chat=chat))
        calls.append(lambda at=index: caller.service(at, "GET", f"/orders/{at}", "status"))
    return caller.run_all(calls, threads=32)


def duplicated_orders(caller):
    """Orders, each sent three times with the same idempotency key through different routers."""
    calls = []
    for order in range(20):
        key = f"{caller.fleet.name}-order-{order}"
        body = json.dumps({"order": order, "copies": 100}).encode()
        calls += [lambda at=order + copy, key=key, body=body:
                  caller.service(at, "POST", "/orders", "interactive", key, body)
                  for copy in range(3)]
    return caller.run_all(calls, threads=30)


def streams_while_draining(caller):
    """Stops the routers while long streams are in progress; returns the problems found."""
    model = next(iter(caller.fleet.entries()))
    begun = threading.Semaphore(0)
    pool = ThreadPoolExecutor(max_workers=6)
    futures = [pool.submit(caller.complete, index, model, "manuscript", tokens=400, stream=True,
                           on_first_byte=begun.release) for index in range(6)]
    for _ in futures:
        begun.acquire(timeout=20)
    problems = caller.fleet.stop("router")
    for future in futures:
        record = future.result()
        if record.outcome != "completed":
            problems.append(f"a stream in progress was cut by the drain: {record.detail}")
    pool.shutdown()
    return problems


def check_records(caller):
    problems = [record.wrong for record in caller.records if record.wrong]
    problems += [f"{record.call_class} {record.kind} call without an outcome: {record.detail}"
                 for record in caller.records if record.status == 0]
    problems += [f"premium call dropped: {record.detail}" for record in caller.records
                 if record.call_class == "premium" and record.outcome != "completed"]
    answers = {}
    for record in caller.records:
        if record.kind == "order" and record.outcome == "completed":
            answers.setdefault(record.key, set()).add(record.body)
    problems += [f"order {key} got different answers" for key, bodies in answers.items()
                 if len(bodies) > 1]
    return problems


def check_standins(caller):
    """Compares the outcomes that the callers received with the records of the stand-ins."""
    fleet, problems = caller.fleet, []
    executed, copies = set(), {}
    for engine in fleet.engines:
        stats = json.loads(http("GET", engine["address"], "/stats").body)
        for violation in ("loaded_twice", "memory_above_capacity"):
            if stats[violation]:
                problems.append(f"{engine['runner']}: {violation} = {stats[violation]}")
        executed.update(json.loads(http("GET", engine["address"], "/executed").body))
        inventory = json.loads(http("GET", engine["address"], "/admin/inventory").body)
        for item in inventory["items"]:
            if item["presence"] in ("loading", "loaded"):
                copies[item["entry"]] = copies.get(item["entry"], 0) + 1
    problems += [f"{entry} is loaded {count} times" for entry, count in copies.items()
                 if count > fleet.max_replicas(entry)]
    problems += ["a call refused as not run has run" for record in caller.records
                 if record.outcome == "not-run" and record.seed in executed]
    executions = {}
    for service in fleet.services:
        for key, count in json.loads(http("GET", service["address"], "/executed").body).items():
            executions[key] = executions.get(key, 0) + count
    problems += [f"order {key} ran {count} times" for key, count in executions.items()
                 if count > 1]
    problems += [f"order {record.key} completed but never ran" for record in caller.records
                 if record.kind == "order" and record.outcome == "completed"
                 and record.key not in executions]
    return problems


def check_invariants(fleet):
    problems = []
    for daemon in fleet.agents + fleet.routers:
        text = http("GET", daemon["admin"], "/metrics").body.decode()
        found = VIOLATION.findall(text)
        if not found:
            problems.append(f"{daemon['id']}: /metrics has no invariant counters")
        problems += [f"{daemon['id']}: {name} violated {count} times"
                     for name, count in found if int(count) > 0]
    return problems


def start(fleets):
    for fleet in fleets:
        fleet.start_standins()
        fleet.apply_config()
        fleet.start_agents()
        fleet.start_routers()
    for fleet in fleets:
        fleet.wait_ready()


def run_calls(fleet):
    caller = Caller(fleet)
    cold_bursts(caller)
    mixed_calls(caller)
    duplicated_orders(caller)
    return caller


def print_refusals(caller):
    """Prints one example of each outcome other than completed, by class and kind of call."""
    examples = {}
    for record in caller.records:
        if record.outcome != "completed":
            examples.setdefault((record.call_class, record.kind, record.outcome), record.detail)
    for (call_class, kind, outcome), detail in sorted(examples.items()):
        print(f"  {call_class} {kind} {outcome}: {detail[:240]}")


def stop_all(fleets):
    problems = []
    for role in ("router", "agent", "standin"):
        for fleet in fleets:
            problems += fleet.stop(role)
    return problems


def main():
    arguments = parse_arguments()
    # Handles SIGTERM as an interrupt, so that the child processes are stopped as well.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    folder = os.path.join(arguments.build, "demo")
    os.makedirs(folder, exist_ok=True)
    ports = Ports()
    fleets = [Fleet(plan, arguments.build, folder, ports) for plan in FLEETS]
    problems, began = [], time.monotonic()
    try:
        start(fleets)
        with open(os.path.join(folder, "addresses.json"), "w", encoding="utf-8") as file:
            json.dump({fleet.name: fleet.addresses() for fleet in fleets}, file, indent=2)
        print(f"{sum(len(fleet.processes) for fleet in fleets)} processes ready after "
              f"{time.monotonic() - began:.1f} s")
        callers = [run_calls(fleet) for fleet in fleets]
        for caller in callers:
            problems += check_invariants(caller.fleet)
        if arguments.keep:
            print(f"up; addresses in {folder}/addresses.json; interrupt to stop", flush=True)
            try:
                threading.Event().wait()
            except KeyboardInterrupt:
                print("stopping")
        for caller in callers:
            problems += streams_while_draining(caller)
            problems += check_records(caller) + check_standins(caller)
            print_table(caller.fleet.name, caller.records)
            print_refusals(caller)
    except (RuntimeError, OSError) as error:
        problems.append(str(error))
    finally:
        problems += stop_all(fleets)
    print(f"\ndemo took {time.monotonic() - began:.1f} s")
    for problem in sorted(set(problems)):
        print(f"PROBLEM ({problems.count(problem)}): {problem}")
    print("demo: " + ("FAILED" if problems else "all promises held, every process exited cleanly"))
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
