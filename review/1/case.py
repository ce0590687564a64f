"""Clients that leave make a gateway order an engine to load more adapters than it has places for."""

import asyncio
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand"))
import stand  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS = float(os.environ.get("SECONDS", "90"))
SEED = int(os.environ.get("SEED", "1"))
ADAPTERS = 60
REQUESTS_PER_S = float(os.environ.get("RATE", "45"))
LEAVING_SHARE = float(os.environ.get("SHARE", "0.3"))


async def caller(gateways, record, rng, number, counts):
    attempt = f"t{number:06d}"
    gateway = rng.choice(gateways)
    adapter = f"a{rng.randint(1, ADAPTERS)}"
    leave_after = rng.uniform(0.05, 0.4) if TROUBLE and rng.random() < LEAVING_SHARE else None
    record.write(f"sent {attempt} for {adapter} to {gateway.name}"
                 + (f", to be left after {leave_after * 1000:.0f} ms" if leave_after else ""))
    answer = await stand.call(gateway.front, stand.generation("draft", attempt, adapter), leave_after)
    if answer is None:
        counts["left"] += 1
        record.write(f"left {attempt}")
        return
    status = stand.status_of(answer)
    whole = status != 200 or stand.is_whole_stream(answer)
    key = f"{status}" if whole else f"{status} cut"
    counts[key] = counts.get(key, 0) + 1
    record.write(f"answered {attempt}: {key}")


async def main():
    here = pathlib.Path(__file__).resolve().parent
    record = stand.Record(here / "record.txt")
    rng = random.Random(SEED)
    store = stand.Store()
    await store.start()
    # "Most engines drop a request when its connection closes": the first one does not, with and without the disruption.
    engines = [stand.Engine(f"i-{n}", store, record, run_s=0.8, drops=n > 0) for n in range(3)]
    with stand.Folder() as folder:
        gateways = [stand.Gateway(f"front-a-{n}", store.port, folder) for n in range(2)]
        try:
            store.document("op/config", stand.config(1))
            for engine in engines:
                await engine.start()
            for gateway in gateways:
                gateway.start()
            for gateway in gateways:
                if not await gateway.wait_ready():
                    return 2
            await asyncio.sleep(2)
            counts = {"left": 0}
            tasks = []
            loop = asyncio.get_running_loop()
            until = loop.time() + SECONDS
            number = 0
            while loop.time() < until and not any(engine.overloads for engine in engines):
                await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
                number += 1
                tasks.append(asyncio.create_task(caller(gateways, record, rng, number, counts)))
            await asyncio.wait(tasks, timeout=6)
            overloads = sum(len(engine.overloads) for engine in engines)
            runs = sum(len(engine.runs) for engine in engines)
            record.write(f"{number} requests, {runs} runs, answers {counts}, orders beyond the places: {overloads}")
            print(f"{number} requests, {runs} runs, answers {counts}, orders beyond the places: {overloads}")
            if counts.get("200", 0) < 20:
                return 2
            return 1 if overloads else 0
        finally:
            for gateway in gateways:
                gateway.kill()


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except Exception as error:  # The case could not run.
        print(f"not run: {error!r}")
        sys.exit(2)
