"""A request that names a huge prompt ends a gateway's process, and with it the orders that it has passed on."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand"))
import stand  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TOKENS = 10**15 if TROUBLE else 628
CALLERS = 6
SECONDS = 10


async def keep_ordering(gateway, record, number, until, answered, lost):
    """Sends orders one after the other over a kept connection."""
    loop, count = asyncio.get_running_loop(), 0
    while loop.time() < until:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", gateway.front)
        except OSError:
            await asyncio.sleep(0.1)
            continue
        try:
            while loop.time() < until:
                count += 1
                attempt = f"o{number}-{count:04d}"
                writer.write(stand.request("POST", "/order/2f", attempt, [("X-Endivespur-Deadline-Ms", "1500")],
                                           b"{}", close=False))
                record.write(f"sent {attempt} to {gateway.name} over a kept connection")
                try:
                    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3)
                    fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line)
                    await reader.readexactly(int(fields.get(b"content-length", b"0")))
                except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError):
                    lost.append(attempt)
                    record.write(f"the connection of {attempt} ended without an answer")
                    break
                answered.append(attempt)
                record.write(f"answered {attempt}: {stand.status_of(head)}")
                if fields.get(b"connection") == b"close":
                    break
        finally:
            writer.close()


async def main():
    record = stand.Record(pathlib.Path(__file__).resolve().parent / "record.txt")
    store = stand.Store()
    await store.start()
    engine = stand.Engine("i-0", store, record, run_s=0.3)
    plain = [stand.Plain(f"p-{n}", store, record, work_s=0.4) for n in range(2)]
    with stand.Folder() as folder:
        gateways = [stand.Gateway(f"front-a-{n}", store.port, folder) for n in range(2)]
        ends = []

        async def restart():
            """A process that exits is restarted after a short delay."""
            while True:
                await asyncio.sleep(0.05)
                for gateway in gateways:
                    if gateway.process.poll() is not None:
                        ends.append(gateway.name)
                        record.write(f"the process of {gateway.name} has ended by itself: {gateway.process.poll()}")
                        await asyncio.sleep(0.5)
                        gateway.start()

        supervisor = None
        try:
            store.document("op/config", stand.config(1))
            for server in [engine, *plain]:
                await server.start()
            for gateway in gateways:
                gateway.start()
            for gateway in gateways:
                if not await gateway.wait_ready():
                    return 2
            supervisor = asyncio.create_task(restart())
            await asyncio.sleep(4)
            answered, lost = [], []
            loop = asyncio.get_running_loop()
            until = loop.time() + SECONDS
            callers = [asyncio.create_task(keep_ordering(gateways[n % 2], record, n, until, answered, lost))
                       for n in range(CALLERS * 2)]
            await asyncio.sleep(3)
            for gateway in gateways:
                attempt = f"t-{gateway.name}"
                record.write(f"sent {attempt} to {gateway.name} with a prompt of {TOKENS} tokens")
                answer = await stand.call(gateway.front, stand.generation("draft", attempt, "a1", tokens=(TOKENS, 73)))
                record.write(f"answered {attempt}: {stand.status_of(answer) or 'nothing'}")
            await asyncio.wait(callers, timeout=15)
            ran = {attempt for server in plain for attempt in server.runs}
            passed_on = [attempt for attempt in lost if attempt in ran]
            text = (f"{len(answered)} orders answered; {len(passed_on)} passed on to a sound endpoint and not answered; "
                    f"processes that ended by themselves: {ends}")
            record.write(text)
            print(text)
            return 2 if len(answered) < 20 else 1 if len(passed_on) > 3 else 0
        finally:
            if supervisor:
                supervisor.cancel()
            for gateway in gateways:
                gateway.kill()


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except Exception as error:  # The case could not run.
        print(f"not run: {error!r}")
        sys.exit(2)
