"""TWICE: a new leader starts tasks again that still run on a runner whose entry in the registry has expired."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins

TASK_MS, ESTIMATE_MS, TASK_CPU = 7000, 8400, 4000
DEADLINE_MS = 20_000
# The runner is cut off from the store for CUT_S, and back in the registry with its next heartbeat.
CUT_S = 5.0
RESTART_S = 0.5
# Times since the cut began.
CALLS_FROM_S, KILL_S = 1.9, 5.85

deployment = standins.Deployment(Path(__file__).resolve().parent, {"gebze": (3, 4), "bursa": (2, 3)}, timeout_ms=DEADLINE_MS)
record = deployment.record


async def until(moment):
    await asyncio.sleep(max(0.0, moment - time.monotonic()))


async def scenario(_):
    leader = deployment.node("edge-gebze-1")
    callers = [deployment.node(f"edge-gebze-{number}").frontend for number in (2, 3)]
    runner = deployment.in_zone("gebze")[0]
    # The cut begins shortly before a heartbeat of the runner, so that its entry expires three seconds later.
    next_beat = deployment.store.beats[runner.name][1] + standins.HEARTBEAT_S
    if next_beat < time.monotonic() + 0.1:
        next_beat += standins.HEARTBEAT_S
    await until(next_beat - 0.05)
    cut_at = time.monotonic()
    if standins.TROUBLE:
        record.say(f"{runner.name} is cut off from the store for {CUT_S} s; the nodes reach it")
        runner.reaches_store_at = cut_at + CUT_S
    calls = []

    async def call():
        body = standins.job(TASK_MS, cpu=TASK_CPU, estimate_ms=ESTIMATE_MS)
        await standins.send(record, callers[len(calls) % 2], standins.new_id(), body, DEADLINE_MS)

    # Fills the runner and about half of the others.
    await until(cut_at + CALLS_FROM_S)
    for _ in range(9):
        calls.append(asyncio.create_task(call()))
        await asyncio.sleep(0.1)
    await until(cut_at + KILL_S)
    record.say(f"{runner.name} runs {[run['task'] for run in runner.runs.values()]}; its entry is {'in' if runner.name in deployment.store.beats else 'not in'} the registry")
    if standins.TROUBLE:
        leader.signal(signal.SIGKILL)
    await asyncio.sleep(RESTART_S)
    if standins.TROUBLE:
        await leader.process.wait()
        await leader.start()
    await asyncio.gather(*calls)
    found = standins.overlaps(deployment.runners)
    for task, one, other, seconds in found:
        record.say(f"two runs of {task} at the same time for {seconds:.2f} s: run {one['run']} on {one['server']} and run {other['run']} on {other['server']}")
    return not found


standins.main(deployment, scenario)
