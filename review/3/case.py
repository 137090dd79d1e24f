"""Fault: one job that can never be done ends one node after the other, each time that it is sent again."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins

MEMORY_MB = 260
STEPS, TASKS_A_STEP = 40, 60_000
RESEND_S = 1.3
RESTART_S = 0.5
MAX_SENDS = 20
ENDS_THAT_COUNT = 3
MACHINES_THAT_COUNT = 2

deployment = standins.Deployment(Path(__file__).resolve().parent, {"gebze": (2, 3), "bursa": (2, 3)}, memory_mb=MEMORY_MB)
record = deployment.record
ends = {}


def resident_mb(process_id):
    try:
        lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    except OSError:
        return 0
    return next((int(line.split()[1]) // 1024 for line in lines if line.startswith("VmRSS:")), 0)


async def platform(node):
    """Ends the process of a node that exceeds `memory_mb`, and starts one that has ended again, as DEPLOY.md says."""
    while True:
        while node.is_running():
            used_mb = resident_mb(node.process.pid)
            if used_mb > MEMORY_MB:
                record.say(f"{node.name} uses {used_mb} MB, over its {MEMORY_MB} MB, and is killed")
                node.process.kill()
                await node.process.wait()
            await asyncio.sleep(0.005)
        ends[node.name] = ends.get(node.name, 0) + 1
        record.say(f"{node.name} has ended, status {node.process.returncode}, for the {ends[node.name]}. time")
        await asyncio.sleep(RESTART_S)
        await node.start()


async def usual_traffic(outcomes):
    """A small call to each node in turn, ten a second."""
    calls = []
    while True:
        for node in deployment.nodes:
            async def call(address=node.frontend):
                status, _ = await standins.send(record, address, standins.new_id(), standins.job(60), 1500)
                outcomes.append(status)

            calls.append(asyncio.create_task(call()))
            await asyncio.sleep(0.1)


async def poison():
    """One call, sent again as PROTOCOL.md says: `retransmit_ms` after a broken connection, a 502, a 504 or no answer, to any node."""
    step = {"count": TASKS_A_STEP, "cpu": 1000, "mem_mb": 64, "estimate_ms": 60}
    body = {"spec": "work_ms=60 ", "job_steps": [step] * STEPS, "best_effort": True}
    job_id = standins.new_id()
    for attempt in range(MAX_SENDS):
        node = deployment.nodes[attempt % len(deployment.nodes)]
        status, _ = await standins.send(record, node.frontend, job_id, body, 1500)
        if status not in (None, 502, 504):
            return
        await asyncio.sleep(RESEND_S)


async def scenario(_):
    outcomes = []
    tasks = [asyncio.create_task(platform(node)) for node in deployment.nodes]
    tasks.append(asyncio.create_task(usual_traffic(outcomes)))
    await asyncio.sleep(2)
    if standins.TROUBLE:
        await poison()
    else:
        await asyncio.sleep(20)
    await asyncio.sleep(2)
    for task in tasks:
        task.cancel()
    served = sum(status == 200 for status in outcomes)
    record.say(f"usual calls: {served} of {len(outcomes)} served; processes that ended by themselves: {ends or 'none'}")
    return sum(count >= ENDS_THAT_COUNT for count in ends.values()) < MACHINES_THAT_COUNT


standins.main(deployment, scenario)
