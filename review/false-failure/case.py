"""Two runners crash one after the other, the second without the task; the job must not be shown as failed, as no run has failed."""

import asyncio
import json
import os
import random
import sys

DIRECTORY = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(DIRECTORY), "standins-2"))
import standins

HOST, PREFIX, SERVICE = "desk.example", "/orders/", "order-desk"
ZONES = ["gebze", "bursa", "kocaeli"]
WORK_MS, ESTIMATE_MS, TASK_CPU = 1200, 300, 6800
DEADLINE_MS = 1500
ABSENCE_S = 0.2
MAX_COPIES = 3


async def case(record, has_trouble):
    deployment = standins.Deployment(record, ZONES)
    started_on = []

    def note(runner, task, run_id, spec):
        started_on.append(runner)

    async def crash(runner):
        runner.crash()
        await asyncio.sleep(ABSENCE_S)
        runner.reset()
        record.write(runner.id, "starts_again", born=runner.born)
        await runner.begin()

    try:
        for zone in ["gebze", "gebze", "bursa", "kocaeli"]:
            deployment.add_node(zone)
        for zone_number, zone in enumerate(ZONES):
            for _ in range(4):
                deployment.add_runner(SERVICE, zone, "a", f"r{zone_number + 1}-1").on_start = note
        await deployment.begin(standins.config_of([("orders", HOST, PREFIX, SERVICE)]))
        await asyncio.sleep(3)
        id = standins.new_id(random.Random(10))
        steps = [{"count": 1, "cpu": TASK_CPU, "mem_mb": 64, "estimate_ms": ESTIMATE_MS}]
        body = json.dumps({"spec": f"{WORK_MS}:{TASK_CPU}", "job_steps": steps, "best_effort": True}).encode()
        answers = []

        async def submit():
            """Sends the job, and sends it again after each answer that leaves its end open."""
            for _ in range(MAX_COPIES):
                record.write("client", "sent", id=id)
                status, answer = await standins.call(deployment.nodes[0].frontend, "POST", PREFIX + id, HOST, body, DEADLINE_MS, 1.6)
                record.write("client", "answered", id=id, status=status, body=answer.decode(errors="replace"))
                answers.append((status, answer))
                if status not in (0, 502, 504):
                    return
                await asyncio.sleep(standins.RETRANSMIT_MS / 1000)

        call = asyncio.ensure_future(submit())
        await asyncio.sleep(0.1)
        if has_trouble:
            # The first crash comes while the task runs there.
            await crash(started_on[0])
            while not answers:
                await asyncio.sleep(0.01)
            # The second comes while the task runs nowhere: after its last run was stopped, as the copy waits.
            second = started_on[-1]
            await asyncio.sleep(standins.RETRANSMIT_MS / 1000 + 0.3)
            record.write(second.id, "about_to_crash", running=len(second.running))
            if not call.done() and not second.running:
                await crash(second)
        await call
        await asyncio.sleep(0.5)
        ends = [end for runner in deployment.runners for end in runner.finished if end[3] == "failed"]
        record.write("runners", "ends_failed", count=len(ends))
        shown_as_failed = any(status == 200 and json.loads(answer).get("state") == "failed" for status, answer in answers)
        if shown_as_failed:
            return [f"job {id} is shown as failed, and {len(ends)} of its runs have ended failed; max_attempts is 2"]
        return []
    finally:
        deployment.end()


standins.main(DIRECTORY, case)
