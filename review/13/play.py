"""CONFIG: a version with a fractional weight is never in force, and the keys that it takes away stay valid."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab3 import FRONT, KEY, Lab, new_id, play, read_answer, request, route, tenant

# The part of the second service, of 100; whole without the trouble.
FRACTION, WHOLE = 0.5, 1
LOST_KEY = "nr26tta828m82thhkmgj"
# How long requests are sent after the ack of the version.
WATCHED_S = 12.0

runs = {}


async def handle(upstream, received, writer):
    runs.setdefault(received["id"], []).append(upstream.service)
    await asyncio.sleep(0.02)
    writer.write(upstream.encode(received, "200 OK", b"done"))


async def send(gateway, line, key):
    number, sent_at = new_id(), time.monotonic()
    reader, writer = await asyncio.open_connection(gateway.ip, FRONT)
    headers = {"Attempt-Id": number, "Deadline-Remaining-Ms": "4000", "Api-Key": key}
    writer.write(request(line, headers))
    status, _, _ = await read_answer(reader, 5)
    writer.close()
    return number, sent_at, status


async def run(lab, record, trouble):
    for index in range(4):
        lab.add_upstream("saldo", "abc"[index % 3], 6, handle)
        lab.add_upstream("innlosning", "abc"[index % 3], 6, handle)
    balance = route("balance", "/balance/", "safe", "saldo", 3, 1)
    redeem = route("redeem", "/redeem/", "unsafe", "innlosning", 3, 1)
    both = [tenant("sese880", [KEY]), tenant("dovo114", [LOST_KEY])]
    await lab.start([balance, redeem], tenants=both)
    # The next version sends a small part of the balances to another service and takes a key away.
    part = FRACTION if trouble else WHOLE
    split = {name: value for name, value in balance.items() if name != "service"}
    split["backends"] = [{"service": "saldo", "weight": 100 - part},
                         {"service": "innlosning", "weight": part}]
    left = [tenant("sese880", [KEY]), tenant("dovo114", [])]
    config = lab.config([split, redeem], tenants=left)
    await lab.store.put("config", "main", config)
    acked_at = time.monotonic()
    record(f"ack of {config['version']}: weights {100 - part} and {part}, key of dovo114 taken away")
    late_runs = 0
    while time.monotonic() < acked_at + WATCHED_S:
        for gateway in lab.gateways:
            number, sent_at, status = await send(gateway, "POST /redeem/x", LOST_KEY)
            age = sent_at - acked_at
            has_run = number in runs
            late = has_run and age > lab.bounds["revokeS"]
            late_runs += late
            record(f"{'CONFIG ' if late else ''}{gateway.name} {number} with the key, sent {age:.2f} s"
                   f" after the ack: {status}, {'run' if has_run else 'not run'}")
        await asyncio.sleep(0.25)
    kept = [await send(gateway, "POST /redeem/x", KEY) for gateway in lab.gateways]
    record(f"with the key that stays: {[status for _, _, status in kept]}")
    summary = f"requests with the key that ran, sent over {lab.bounds['revokeS']} s after the ack: {late_runs}"
    record(summary)
    print(summary)
    return late_runs > 0


play(__file__, Lab, run)
