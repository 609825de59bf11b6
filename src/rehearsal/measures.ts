import { createServer, request, type IncomingMessage, type ServerResponse } from 'node:http';
import { compile } from '../policy/language.js';
import { PolicyRouter } from '../proxy/policy-router.js';
import { POLICY_ROUTER_DEFAULTS } from '../proxy/policy-router-types.js';
import { PolicyForwarder } from '../proxy/policy-forwarder.js';
import { Counters } from '../common/counters.js';
import { monotonicNow } from '../common/clock.js';
import { moment, type Moment } from '../common/ids.js';
import { bindServer, parseAddress } from '../common/listen.js';
import { Scheduler } from './scheduler.js';
import { Seeded } from './seeded.js';
import { Simulation } from './simulation.js';

export interface NewsMeasure {
  readonly edges: number;
  readonly configMs: number;
  readonly markMs: number;
  readonly configMessages: number;
  readonly quietMessagesPerSecond: number;
}

/** How long a configuration and a leaving mark take to the last proxy, and what they cost in messages, on virtual time. */
export function measureNews(edges: number, seed: number): NewsMeasure {
  const simulation = new Simulation({ seed, edges, stormMs: 0, troubles: [] });
  const { scheduler, network } = simulation;
  simulation.start();
  scheduler.runUntil(15_000);
  const before = network.sent;
  scheduler.runUntil(16_000);
  const quiet = network.sent - before;
  const { table } = compile(
    'map POST /v1/checks to check\nrow check m-* weight 10 take 100/s late 10s once stream',
  );
  let toldAt = -1;
  const start = scheduler.now;
  const sentBefore = network.sent;
  simulation
    .leader()
    ?.command('table', JSON.stringify({ id: 'm', base: 0, table }), (status: number) => {
      if (status === 200) toldAt = scheduler.now;
    });
  while (toldAt < 0 && scheduler.now < start + 10_000) scheduler.runUntil(scheduler.now + 1);
  const configMs = toldAt - start;
  const configMessages = network.sent - sentBefore - Math.round((quiet * configMs) / 1000);
  const markStart = scheduler.now;
  simulation.mark('r0', true);
  while (!simulation.haveAllMarks() && scheduler.now < markStart + 10_000)
    scheduler.runUntil(scheduler.now + 1);
  return {
    edges,
    configMs,
    markMs: scheduler.now - markStart,
    configMessages,
    quietMessagesPerSecond: quiet,
  };
}

export interface DrawMeasure {
  readonly chosen: string;
  readonly requests: number;
  readonly keptShare: number;
}

interface Bench {
  readonly decision: PolicyRouter;
  readonly rowText: string;
}

function makeDecision(rowText: string, runners: readonly string[], slots: number): Bench {
  const decision = new PolicyRouter({
    ...POLICY_ROUTER_DEFAULTS,
    freshnessBoundMs: 1e9,
    proxyId: 'f',
  });
  const now = moment(0);
  decision.onUpdate(
    now,
    'config',
    { epoch: 2, count: 1 },
    JSON.stringify({ number: 1, table: compile(rowText).table, emptied: [], voters: [] }),
  );
  const seats = [];
  const placed = [];
  for (const id of runners) {
    seats.push({ runner: id, primary: seats.length === 0, adapters: [] });
    placed.push({ id, address: `${id}:1`, zone: id, service: '', slots, upMs: 60_000 });
  }
  decision.onUpdate(
    now,
    'places',
    { epoch: 2, count: 1 },
    JSON.stringify({
      places: [{ model: 'm', seats, wait: '' }],
      runners: placed,
      flows: 1,
      shares: [],
    }),
  );
  decision.onFreshnessConfirmed(decision.startFreshnessRequest(now), { epoch: 0, count: 0 }, 0);
  return { decision, rowText };
}

/** The share of prompt parts that the drawn runner still keeps, against a random draw among those of the same pair with a free slot. */
export function measureDraw(seed: number): DrawMeasure[] {
  const results: DrawMeasure[] = [];
  for (const chosen of ['ours', 'random']) {
    const seeded = new Seeded(seed);
    const scheduler = new Scheduler();
    const { decision } = makeDecision(
      'map POST /c to check\nrow check m late 60s take 10000/s',
      ['a', 'b'],
      4,
    );
    const kept = new Map<string, string[]>([
      ['a', []],
      ['b', []],
    ]);
    const running = new Map<string, number>([
      ['a', 0],
      ['b', 0],
    ]);
    let [parts, hits] = [0, 0];
    const count = 4000;
    function run(runner: string, wanted: readonly string[]): number {
      const held = kept.get(runner) ?? [];
      let missed = 0;
      for (const part of wanted) {
        parts += 1;
        if (held.includes(part)) hits += 1;
        else missed += 1;
      }
      // A runner keeps the last 24 parts it was given.
      kept.set(runner, [...wanted, ...held.filter((part) => !wanted.includes(part))].slice(0, 24));
      // A part that is not kept costs 100 ms more.
      return 200 + missed * 100;
    }
    const wants = new Map<number, readonly string[]>();
    function obey(): void {
      for (const verdict of decision.drainVerdicts()) {
        if (verdict.do !== 'run') continue;
        scheduler.after(run(verdict.runner, wants.get(verdict.id) ?? []), () => end(verdict.id));
      }
    }
    function end(id: number): void {
      decision.onRunCompleted(moment(scheduler.now), id);
      obey();
    }
    const waiting: number[] = [];
    function drawRandom(): void {
      for (;;) {
        const free = ['a', 'b'].filter(hasSlot);
        const id = free.length > 0 ? waiting.shift() : undefined;
        if (id === undefined) return;
        const runner = seeded.pick(free) ?? 'a';
        running.set(runner, (running.get(runner) ?? 0) + 1);
        scheduler.after(run(runner, wants.get(id) ?? []), () => endRandom(runner));
      }
    }
    function hasSlot(runner: string): boolean {
      return (running.get(runner) ?? 0) < 4;
    }
    function endRandom(runner: string): void {
      running.set(runner, (running.get(runner) ?? 1) - 1);
      drawRandom();
    }
    function arrive(id: number): void {
      const group = seeded.below(12);
      const wanted = [`${group}-0`, `${group}-1`, `${group}-2`];
      wants.set(id, wanted);
      if (chosen === 'random') {
        waiting.push(id);
        drawRandom();
        return;
      }
      decision.onRequest(moment(scheduler.now), {
        id,
        method: 'POST',
        path: '/c',
        model: 'm',
        adapter: '',
        prefixBlocks: wanted,
      });
      obey();
    }
    for (let id = 1; id <= count; id += 1) scheduler.at(id * 60, arrive.bind(undefined, id));
    scheduler.runUntil(count * 60 + 20_000);
    results.push({
      chosen,
      requests: parts / 3,
      keptShare: Math.round((hits / parts) * 1000) / 1000,
    });
  }
  return results;
}

export interface CrowdMeasure {
  readonly order: string;
  readonly heavyServed: number;
  readonly lightServed: number;
  readonly heavyAsked: number;
  readonly lightAsked: number;
  readonly mostWaitOfTurnedAwayMs: number;
}

/** A crowd of twice what can be served: how much of each weight is served in time, against first come first served. */
export function measureCrowd(seed: number): CrowdMeasure[] {
  const results: CrowdMeasure[] = [];
  for (const order of ['by weight', 'first come']) {
    const weight = order === 'by weight' ? 100 : 10;
    const seeded = new Seeded(seed);
    const scheduler = new Scheduler();
    const { decision } = makeDecision(
      `map POST /h to heavy\nmap POST /l to light\nrow heavy m weight ${weight} take 100000/s late 5s\nrow light m weight 10 take 100000/s late 5s`,
      ['a', 'b'],
      2,
    );
    const asked = new Map<number, { readonly isHeavy: boolean; readonly at: number }>();
    let [heavyServed, lightServed, heavyAsked, lightAsked, mostWait] = [0, 0, 0, 0, 0];
    function obey(): void {
      for (const verdict of decision.drainVerdicts()) {
        const item = asked.get(verdict.id);
        if (!item) continue;
        if (verdict.do === 'reject') {
          mostWait = Math.max(mostWait, scheduler.now - item.at);
          continue;
        }
        // Each run takes about 400 ms.
        const span = seeded.between(300, 500);
        const isInTime = scheduler.now + span <= item.at + 5000;
        if (isInTime && item.isHeavy) heavyServed += 1;
        else if (isInTime) lightServed += 1;
        scheduler.after(span, () => end(verdict.id));
      }
    }
    function end(id: number): void {
      decision.onRunCompleted(moment(scheduler.now), id);
      obey();
    }
    function arrive(id: number): void {
      const isHeavy = seeded.isLikely(0.4);
      if (isHeavy) heavyAsked += 1;
      else lightAsked += 1;
      asked.set(id, { isHeavy, at: scheduler.now });
      decision.onRequest(moment(scheduler.now), {
        id,
        method: 'POST',
        path: isHeavy ? '/h' : '/l',
        model: 'm',
        adapter: '',
        prefixBlocks: [],
      });
      obey();
    }
    function tick(): void {
      decision.tick(moment(scheduler.now));
      obey();
      if (scheduler.now < 30_000) scheduler.after(25, tick);
    }
    tick();
    // Eight slots at 400 ms serve 20 a second; 40 a second ask.
    for (let id = 1; id <= 800; id += 1)
      scheduler.at(seeded.between(0, 20_000), arrive.bind(undefined, id));
    scheduler.runUntil(40_000);
    results.push({
      order,
      heavyServed,
      lightServed,
      heavyAsked,
      lightAsked,
      mostWaitOfTurnedAwayMs: Math.round(mostWait),
    });
  }
  return results;
}

export interface RelayMeasure {
  readonly rounds: number;
  readonly proxyMs: number;
  readonly relayMs: number;
  readonly ratio: number;
}

/** The time a request takes through the proxy, as a ratio to a bare relay of Node's http in the same run. */
export async function measureRelay(rounds: number): Promise<RelayMeasure> {
  const backServer = createServer((asked: IncomingMessage, returned: ServerResponse) => {
    asked.resume();
    returned.end('{"ok":true}');
  });
  const backAddress = `127.0.0.1:${await bindServer(backServer, '127.0.0.1:0')}`;
  const { host, port } = parseAddress(backAddress);
  const bareServer = createServer((asked: IncomingMessage, returned: ServerResponse) => {
    const sent = request({ host, port, method: asked.method, path: '/run', agent: false });
    sent.once('response', (inner: IncomingMessage) => {
      returned.writeHead(inner.statusCode ?? 502, { 'content-type': 'application/json' });
      inner.pipe(returned);
    });
    asked.pipe(sent);
  });
  const bareAddress = `127.0.0.1:${await bindServer(bareServer, '127.0.0.1:0')}`;
  const decision = new PolicyRouter({
    ...POLICY_ROUTER_DEFAULTS,
    freshnessBoundMs: 1e9,
    proxyId: 'f',
  });
  const now = monotonicNow();
  decision.onUpdate(
    now,
    'config',
    { epoch: 2, count: 1 },
    JSON.stringify({
      number: 1,
      table: compile('map POST /c to check\nrow check m weight 9 take 100000/s late 10s once')
        .table,
      emptied: [],
      voters: [],
    }),
  );
  const runners = [
    { id: 'r', address: backAddress, zone: 'z', service: '', slots: 64, upMs: 60_000 },
  ];
  decision.onUpdate(
    now,
    'places',
    { epoch: 2, count: 1 },
    JSON.stringify({
      places: [{ model: 'm', seats: [{ runner: 'r', primary: true, adapters: [] }], wait: '' }],
      runners,
      flows: 1,
      shares: [],
    }),
  );
  decision.onFreshnessConfirmed(decision.startFreshnessRequest(now), { epoch: 0, count: 0 }, 0);
  const executor = new PolicyForwarder(
    decision,
    { maxBodyBytes: 65_536, connectTimeoutMs: 500, idleTimeoutMs: 20_000 },
    new Counters(),
    monotonicNow,
  );
  const proxyAddress = `127.0.0.1:${await executor.listen('127.0.0.1:0')}`;
  const body = JSON.stringify({ model: 'm', prompt: 'x'.repeat(500) });
  let [proxyMs, relayMs] = [0, 0];
  for (let round = 0; round < rounds + 50; round += 1) {
    // In turn, so that whatever else the machine does weighs on both alike; the first fifty warm up.
    const proxy = await timeOf(proxyAddress, body);
    const relay = await timeOf(bareAddress, body);
    if (round < 50) continue;
    proxyMs += proxy;
    relayMs += relay;
  }
  await executor.stop(0);
  for (const server of [backServer, bareServer]) {
    server.closeAllConnections();
    server.close();
  }
  return { rounds, proxyMs: proxyMs / rounds, relayMs: relayMs / rounds, ratio: proxyMs / relayMs };
}

function timeOf(address: string, body: string): Promise<number> {
  const { host, port } = parseAddress(address);
  const start: Moment = monotonicNow();
  return new Promise((done: (millis: number) => void, fail: (thrown: unknown) => void) => {
    function ended(): void {
      done(monotonicNow() - start);
    }
    const sent = request({
      host,
      port,
      method: 'POST',
      path: '/c',
      agent: false,
      headers: { 'content-length': Buffer.byteLength(body) },
    });
    sent.once('response', (returned: IncomingMessage) => {
      returned.resume();
      returned.once('end', ended);
    });
    sent.once('error', fail);
    sent.end(body);
  });
}
