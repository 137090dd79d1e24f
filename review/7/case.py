"""A runner is down while the machines are restarted in turn; after a later loss of all processes, requests must be served again."""

import asyncio
import json
import os
import random
import signal
import sys

DIRECTORY = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(DIRECTORY), "standins-2"))
import standins

HOST, PREFIX, SERVICE = "desk.example", "/orders/", "order-desk"
ZONES = ["gebze", "bursa", "kocaeli"]
WORK_MS, TASK_CPU = 60, 6800
RECOVERY_S = 12
# Together with the heartbeat interval before it, this is no longer than the three intervals after which the store removes an entry.
ABSENCE_S = 3.0
STEADY_S = 20
ROLLS = 3
RESTART_GAP_S = 1.3
PROCESS_BITS = 20


async def case(record, has_trouble):
    deployment = standins.Deployment(record, ZONES)
    answers = []
    try:
        for zone in ["gebze", "gebze", "gebze", "bursa", "bursa", "kocaeli", "kocaeli"]:
            deployment.add_node(zone)
        for zone_number, zone in enumerate(ZONES):
            for _ in range(4):
                deployment.add_runner(SERVICE, zone, "a", f"r{zone_number + 1}-1")
        await deployment.begin(standins.config_of([("orders", HOST, PREFIX, SERVICE)]))
        await asyncio.sleep(2)
        generator = random.Random(8)
        entries = [node for node in deployment.nodes if node.zone == "gebze"]
        calls = set()

        async def submit():
            id = standins.new_id(generator)
            steps = [{"count": 2, "cpu": TASK_CPU, "mem_mb": 64, "estimate_ms": WORK_MS}]
            body = json.dumps({"spec": f"{WORK_MS}:{TASK_CPU}", "job_steps": steps, "best_effort": True}).encode()
            ready = [node for node in entries if node.in_rotation] or entries
            node = generator.choice(ready)
            sent_ms = record.now_ms()
            record.write("client", "sent", id=id, node=node.name)
            status, answer = await standins.call(node.frontend, "POST", PREFIX + id, HOST, body, 1500, 1.6)
            record.write("client", "answered", id=id, status=status, body=answer.decode(errors="replace"))
            answers.append((sent_ms, status == 200))

        async def traffic():
            while True:
                task = asyncio.ensure_future(submit())
                calls.add(task)
                task.add_done_callback(calls.discard)
                await asyncio.sleep(0.05)

        async def balance():
            while True:
                for node in deployment.nodes:
                    is_ready = await node.is_ready()
                    node.misses = 0 if is_ready else getattr(node, "misses", 0) + 1
                    node.in_rotation = node.misses < 2
                await asyncio.sleep(1)

        def log_tokens(when):
            for runner in deployment.runners:
                record.write(runner.id, "highest_token", when=when, epoch=runner.fence >> PROCESS_BITS, process=runner.fence % (1 << PROCESS_BITS))

        def share_served(begin_ms, end_ms):
            within = [served for sent_ms, served in answers if begin_ms <= sent_ms < end_ms]
            return sum(within) / max(1, len(within)), len(within)

        for node in deployment.nodes:
            node.in_rotation = True
        background = [asyncio.ensure_future(traffic()), asyncio.ensure_future(balance())]
        await asyncio.sleep(STEADY_S)
        victim = deployment.runners[0]

        async def be_away():
            victim.crash()
            await asyncio.sleep(ABSENCE_S)
            victim.reset()
            record.write(victim.id, "starts_again", born=victim.born)
            await victim.begin()

        absence = asyncio.ensure_future(be_away()) if has_trouble else None
        for number in range(ROLLS):
            for node in entries:
                record.write(node.name, "SIGTERM", roll=number + 1)
                node.signal(signal.SIGTERM)
                while node.child.poll() is None:
                    await asyncio.sleep(0.02)
                await asyncio.sleep(0.3)
                node.start()
                record.write(node.name, "started")
                await asyncio.sleep(RESTART_GAP_S)
            log_tokens(f"after_roll_{number + 1}")
        if absence is not None:
            await absence
        await asyncio.sleep(3)
        log_tokens("before_final_fault")
        final_ms = record.now_ms()
        for node in deployment.nodes:
            node.signal(signal.SIGKILL)
        record.write("all processes", "SIGKILL")
        for node in deployment.nodes:
            node.child.wait()
        await asyncio.sleep(0.6)
        for node in deployment.nodes:
            node.start()
        back_ms = record.now_ms()
        record.write("all processes", "started")
        await asyncio.sleep(RECOVERY_S + 8)
        for task in background:
            task.cancel()
        while calls:
            await asyncio.sleep(0.05)
        log_tokens("end")
        before, before_count = share_served(0, final_ms)
        after, after_count = share_served(back_ms + RECOVERY_S * 1000, record.now_ms())
        just_before, _ = share_served(final_ms - 3000, final_ms)
        record.write("clients", "served", before=f"{before:.2f}", of=before_count, after_recovery=f"{after:.2f}", of_after=after_count, last_3s_before=f"{just_before:.2f}")
        if before >= 0.25 and after < 0.25:
            return [f"of {after_count} requests sent later than {RECOVERY_S} s after the machines were back, {after:.0%} were served; before the final fault {before:.0%} of {before_count}"]
        return []
    finally:
        deployment.end()


standins.main(DIRECTORY, case)
