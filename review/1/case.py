"""TWICE: a stop that a runner leaves unanswered is never repeated, so the task runs on while the job sent again runs elsewhere."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins

# A task of the longest kind on the sheet (`order-price`: 0.9 s on average, 3.6 s at most, deadline 1.5 s).
WORK_MS, ESTIMATE_MS, DEADLINE_MS = 3600, 900, 1500
RESEND_S = 1.3
LATE_S = 6.0
SUBJECTS = 3

deployment = standins.Deployment(Path(__file__).resolve().parent, {"gebze": (2, 3), "bursa": (2, 3)})
record = deployment.record


async def usual_traffic(address, pause_s):
    """Calls of the same kind, with tasks of the usual time: about two thirds of the room in gebze, some in bursa."""
    calls = set()
    while True:
        body = standins.job(900, count=4, cpu=2000)
        calls.add(asyncio.create_task(standins.send(record, address, standins.new_id(), body, DEADLINE_MS)))
        await asyncio.sleep(pause_s)


async def subject(job_id):
    """One call, sent again as PROTOCOL.md says: `retransmit_ms` after a broken connection, a 502, a 504 or no answer, to any node."""
    body = standins.job(WORK_MS, cpu=2000, estimate_ms=ESTIMATE_MS)
    for node in ("edge-gebze-1", "edge-bursa-1"):
        status, _ = await standins.send(record, deployment.node(node).frontend, job_id, body, DEADLINE_MS)
        if status not in (None, 502, 504):
            return
        await asyncio.sleep(RESEND_S)


async def scenario(_):
    ids = [standins.new_id() for _ in range(SUBJECTS)]

    def leaves_unanswered(path, order):
        is_subject = path == "/v1/run-stop" and any(order["task"].startswith(job_id) for job_id in ids)
        return LATE_S if standins.TROUBLE and is_subject else None

    for runner in deployment.in_zone("gebze"):
        runner.late_order = leaves_unanswered
    pauses = {"edge-gebze-2": 0.22, "edge-bursa-2": 1.0}
    traffic = [asyncio.create_task(usual_traffic(deployment.node(node).frontend, pause_s)) for node, pause_s in pauses.items()]
    await asyncio.sleep(2)
    subjects = []
    for job_id in ids:
        subjects.append(asyncio.create_task(subject(job_id)))
        await asyncio.sleep(0.5)
    await asyncio.gather(*subjects)
    await asyncio.sleep(LATE_S)
    for task in traffic:
        task.cancel()
    orders = sum(runner.order_count for runner in deployment.runners)
    late = sum(runner.late_count for runner in deployment.runners)
    record.say(f"{late} of {orders} orders to runners were left unanswered and carried out late")
    found = standins.overlaps(deployment.runners)
    for task, one, other, seconds in found:
        record.say(f"two runs of {task} at the same time for {seconds:.2f} s: run {one['run']} on {one['server']} and run {other['run']} on {other['server']}")
    return not found


standins.main(deployment, scenario)
