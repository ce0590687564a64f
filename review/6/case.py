"""Two zones lose their links to all engines, one after the other: do orders of two machines take turns at an engine?

Three gateways in three zones, three model engines. The machine that gives an engine its orders is partitioned from all
engines for CUT_S. As soon as another machine has given that engine an order, that one is partitioned for CUT_S.
TROUBLE=0: the same without cuts.
"""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), '..', 'stand-2'))
from stand import *  # noqa: E402,F403

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
LEASE_S, THAW_S = 3.0, 0.3     # `lease_ms`, `thaw_ms`
CUT_S = 1.3
ROUNDS = 4
record = Record(os.path.join(os.path.dirname(os.path.abspath(__file__)), 'record.txt'))


class Machine:
    def __init__(self, gateway, links):
        self.gateway, self.links, self.healed = gateway, links, []

    @property
    def name(self):
        return self.gateway.name

    async def cut(self):
        record(f'{self.name} is partitioned from all engines for {CUT_S} s')
        for link in self.links.values():
            await link.cut()
        await asyncio.sleep(CUT_S)
        for link in self.links.values():
            await link.heal()
        self.healed.append(now())
        record(f'{self.name} reaches all engines again')


def tenures(engine, machines):
    """Returns the spells in which one machine's orders were accepted, as (machine, first, last)."""
    spells = []
    for at, holder, _, _, _, status in engine.orders:
        name = holder.split('#')[0]
        healed = [heal for machine in machines for heal in machine.healed]
        if status not in (200, 202) or any(0 <= at - heal <= THAW_S for heal in healed):
            continue
        if spells and spells[-1][0] == name:
            spells[-1] = (name, spells[-1][1], at)
        else:
            spells.append((name, at, at))
    return spells


def holder_of(engine, since=0.0):
    orders = [order for order in engine.orders if order[5] in (200, 202) and order[0] > since]
    return orders[-1][1].split('#')[0] if orders else None


async def wait_for(condition, timeout):
    until = now() + timeout
    while now() < until:
        if condition():
            return True
        await asyncio.sleep(0.005)
    return False


async def traffic(machines, counts):
    """Streams on adapters that outnumber the places on the engines, at all machines in turn."""
    number, tasks = 0, set()
    try:
        while True:
            machine = machines[number % len(machines)]

            async def one(machine=machine, number=number):
                model = f'{MODEL}/a{number % 40}'
                sent = now()
                attempt, status, body = await exchange(machine.gateway, 'POST', '/feast/board', 6000, model,
                                                       b'x' * 1000)
                answer = status if body is not None else f'{status} cut'
                counts[answer] = counts.get(answer, 0) + 1
                record.file.write(f'{record.at(sent):8.3f} {attempt} {model} sent to {machine.name}: {answer}\n')
            task = asyncio.ensure_future(one())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            number += 1
            await asyncio.sleep(0.03)
    finally:
        for task in tasks:
            task.cancel()


async def play(folder, gateways, tasks):
    store = Store()
    tasks.append(asyncio.ensure_future(store.expire()))
    zones = ['nairobi-a', 'nairobi-b', 'nairobi-c']
    engines = [await Engine(f'i-{number:08x}', 'models', zones[number]).start() for number in range(3)]
    await store.put('op/config', config(1))
    tasks += [asyncio.ensure_future(engine.heartbeat(store)) for engine in engines]
    machines = []
    for zone in zones:
        links = {engine.address: await Link(engine.address).start() for engine in engines}
        server = await store.listen({address: link.address for address, link in links.items()})
        gateway = Gateway(f'front-{zone}-1', zone, server.address, folder)
        gateways.append(gateway)
        await gateway.start()
        machines.append(Machine(gateway, links))
    for gateway in gateways:
        if not await gateway.wait_ready():
            record(f'{gateway.name} is not ready')
            return 2
    counts = {}
    tasks.append(asyncio.ensure_future(traffic(machines, counts)))
    await asyncio.sleep(6)
    for number in range(ROUNDS):
        engine = engines[number % len(engines)]
        since = now()
        if not await wait_for(lambda: holder_of(engine, since) is not None, 10):
            record(f'no orders at {engine.id}')
            return 2
        first = next(m for m in machines if m.name == holder_of(engine, since))
        record(f'round {number + 1}: {first.name} gives {engine.id} its orders')
        if TROUBLE:
            cuts = [asyncio.ensure_future(first.cut())]
            since = now()
            if await wait_for(lambda: holder_of(engine, since) not in (None, first.name), 4):
                second = next(m for m in machines if m.name == holder_of(engine, since))
                record(f'{second.name} gives {engine.id} its orders')
                cuts.append(asyncio.ensure_future(second.cut()))
            await asyncio.gather(*cuts)
        await asyncio.sleep(8)
    record(f'answers by status: {counts}')
    broken = 0
    for engine in engines:
        spells = tenures(engine, machines)
        for at, holder, fence, op, adapter, status in engine.orders:
            record.file.write(f'{record.at(at):8.3f} {engine.id} {holder} fence {fence} {op} {adapter}: {status}\n')
        for at, attempt in engine.runs:
            record.file.write(f'{record.at(at):8.3f} {engine.id} runs {attempt}\n')
        for one, two, three in zip(spells, spells[1:], spells[2:]):
            gap = three[1] - one[2]
            if one[0] == three[0] and gap < LEASE_S:
                broken += 1
                record(f'ONE: {engine.id} took orders of {one[0]} until {record.at(one[2]):.3f}, of {two[0]} from '
                       f'{record.at(two[1]):.3f} to {record.at(two[2]):.3f}, of {three[0]} again from '
                       f'{record.at(three[1]):.3f}: {gap:.2f} s apart, lease_ms is 3,000')
    if len([status for engine in engines for *_, status in engine.orders if status in (200, 202)]) < 50:
        record('too few orders to judge')
        return 2
    record('the rule was broken' if broken else 'the rule held')
    return 1 if broken else 0


async def main():
    gateways, tasks = [], []
    with temporary_folder() as folder:
        try:
            return await asyncio.wait_for(play(folder, gateways, tasks), 110)
        except asyncio.TimeoutError:
            record('took too long')
            return 2
        finally:
            for gateway in gateways:
                await gateway.end()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            if os.environ.get('KEEP_LOGS'):
                for gateway in gateways:
                    os.system(f'cp {gateway.log} {os.environ["KEEP_LOGS"]}')

sys.exit(asyncio.run(main()))
