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
import { SeededRandom } from './seeded-random.js';
import { Simulation } from './simulation.js';

/** Time and messages that it takes to bring a change to all proxies. */
export interface DisseminationMeasure {
  readonly edges: number;
  readonly configMs: number;
  readonly markMs: number;
  readonly configMessages: number;
  readonly quietMessagesPerSecond: number;
}

/** Measures, in virtual time, how long a configuration and a leaving mark take to reach the last proxy, and their messages. */
export function measureDissemination(edges: number, seed: number): DisseminationMeasure {
  const simulation = new Simulation({ seed, edges, faultPeriodMs: 0, faultKinds: [] });
  const { scheduler, network } = simulation;
  simulation.start();
  scheduler.runUntil(15_000);
  const messagesBefore = network.sent;
  scheduler.runUntil(16_000);
  const idleMessages = network.sent - messagesBefore;
  const { table } = compile(
    'map POST /v1/checks to check\nrow check m-* weight 10 take 100/s late 10s once stream',
  );
  let acknowledgedAt = -1;
  const start = scheduler.now;
  const sentBefore = network.sent;
  simulation
    .leader()
    ?.command('table', JSON.stringify({ id: 'm', base: 0, table }), (status: number) => {
      if (status === 200) acknowledgedAt = scheduler.now;
    });
  while (acknowledgedAt < 0 && scheduler.now < start + 10_000)
    scheduler.runUntil(scheduler.now + 1);
  const configMs = acknowledgedAt - start;
  const configMessages = network.sent - sentBefore - Math.round((idleMessages * configMs) / 1000);
  const markStart = scheduler.now;
  simulation.mark('r0', true);
  while (!simulation.haveAllMarks() && scheduler.now < markStart + 10_000)
    scheduler.runUntil(scheduler.now + 1);
  return {
    edges,
    configMs,
    markMs: scheduler.now - markStart,
    configMessages,
    quietMessagesPerSecond: idleMessages,
  };
}

/** Share of prompt parts that were cached on the chosen runner, for one way of choosing. */
export interface PrefixAffinityMeasure {
  readonly chosen: string;
  readonly requests: number;
  readonly keptShare: number;
}

interface RouterSetup {
  readonly router: PolicyRouter;
  readonly rowText: string;
}

/** Returns a router with a policy table and one model on all the runners, the first as its primary. */
function makeRouter(rowText: string, runners: readonly string[], slots: number): RouterSetup {
  const router = new PolicyRouter({
    ...POLICY_ROUTER_DEFAULTS,
    freshnessBoundMs: 1e9,
    proxyId: 'f',
  });
  const now = moment(0);
  router.onUpdate(
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
  router.onUpdate(
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
  router.onFreshnessConfirmed(router.startFreshnessRequest(now), { epoch: 0, count: 0 }, 0);
  return { router, rowText };
}

/**
 * Measures the share of prompt parts that the chosen runner still has cached, and compares it with a random choice among
 * the runners of the same pair that have a free slot.
 */
export function measurePrefixAffinity(seed: number): PrefixAffinityMeasure[] {
  const results: PrefixAffinityMeasure[] = [];
  for (const chosen of ['ours', 'random']) {
    const seeded = new SeededRandom(seed);
    const scheduler = new Scheduler();
    const { router } = makeRouter(
      'map POST /c to check\nrow check m late 60s take 10000/s',
      ['a', 'b'],
      4,
    );
    const cachedParts = new Map<string, string[]>([
      ['a', []],
      ['b', []],
    ]);
    const running = new Map<string, number>([
      ['a', 0],
      ['b', 0],
    ]);
    let [parts, hits] = [0, 0];
    const requestCount = 4000;
    /** Processes a request's prompt parts on a runner, updates its cache and returns the duration of the run, ms. */
    function processPrompt(runner: string, requestedParts: readonly string[]): number {
      const cached = cachedParts.get(runner) ?? [];
      let missed = 0;
      for (const part of requestedParts) {
        parts += 1;
        if (cached.includes(part)) hits += 1;
        else missed += 1;
      }
      // A runner caches the last 24 parts that it processed.
      cachedParts.set(
        runner,
        [...requestedParts, ...cached.filter((part) => !requestedParts.includes(part))].slice(
          0,
          24,
        ),
      );
      // A part that is not cached costs 100 ms more.
      return 200 + missed * 100;
    }
    const partsById = new Map<number, readonly string[]>();
    function applyVerdicts(): void {
      for (const verdict of router.drainVerdicts()) {
        if (verdict.do !== 'run') continue;
        scheduler.after(processPrompt(verdict.runner, partsById.get(verdict.id) ?? []), () =>
          complete(verdict.id),
        );
      }
    }
    function complete(id: number): void {
      router.onRunCompleted(moment(scheduler.now), id);
      applyVerdicts();
    }
    const waiting: number[] = [];
    function dispatchRandom(): void {
      for (;;) {
        const freeRunners = ['a', 'b'].filter(hasSlot);
        const id = freeRunners.length > 0 ? waiting.shift() : undefined;
        if (id === undefined) return;
        const runner = seeded.pick(freeRunners) ?? 'a';
        running.set(runner, (running.get(runner) ?? 0) + 1);
        scheduler.after(processPrompt(runner, partsById.get(id) ?? []), () =>
          completeRandom(runner),
        );
      }
    }
    function hasSlot(runner: string): boolean {
      return (running.get(runner) ?? 0) < 4;
    }
    function completeRandom(runner: string): void {
      running.set(runner, (running.get(runner) ?? 1) - 1);
      dispatchRandom();
    }
    function arrive(id: number): void {
      const group = seeded.below(12);
      const requestedParts = [`${group}-0`, `${group}-1`, `${group}-2`];
      partsById.set(id, requestedParts);
      if (chosen === 'random') {
        waiting.push(id);
        dispatchRandom();
        return;
      }
      router.onRequest(moment(scheduler.now), {
        id,
        method: 'POST',
        path: '/c',
        model: 'm',
        adapter: '',
        prefixBlocks: requestedParts,
      });
      applyVerdicts();
    }
    for (let id = 1; id <= requestCount; id += 1) scheduler.at(id * 60, arrive.bind(undefined, id));
    scheduler.runUntil(requestCount * 60 + 20_000);
    results.push({
      chosen,
      requests: parts / 3,
      keptShare: Math.round((hits / parts) * 1000) / 1000,
    });
  }
  return results;
}

/** Requests served in time under overload, by weight, for one order of service. */
export interface OverloadMeasure {
  readonly order: string;
  readonly heavyServed: number;
  readonly lightServed: number;
  readonly heavyAsked: number;
  readonly lightAsked: number;
  readonly mostWaitOfTurnedAwayMs: number;
}

/** Measures which share of each weight is served in time at twice the capacity, and compares it with first come, first served. */
export function measureOverload(seed: number): OverloadMeasure[] {
  const results: OverloadMeasure[] = [];
  for (const order of ['by weight', 'first come']) {
    const weight = order === 'by weight' ? 100 : 10;
    const seeded = new SeededRandom(seed);
    const scheduler = new Scheduler();
    const { router } = makeRouter(
      `map POST /h to heavy\nmap POST /l to light\nrow heavy m weight ${weight} take 100000/s late 5s\nrow light m weight 10 take 100000/s late 5s`,
      ['a', 'b'],
      2,
    );
    const requests = new Map<number, { readonly isHeavy: boolean; readonly at: number }>();
    let [heavyServed, lightServed, heavyAsked, lightAsked, maxRejectionWaitMs] = [0, 0, 0, 0, 0];
    function applyVerdicts(): void {
      for (const verdict of router.drainVerdicts()) {
        const entry = requests.get(verdict.id);
        if (!entry) continue;
        if (verdict.do === 'reject') {
          maxRejectionWaitMs = Math.max(maxRejectionWaitMs, scheduler.now - entry.at);
          continue;
        }
        // Each run takes about 400 ms.
        const durationMs = seeded.between(300, 500);
        const isInTime = scheduler.now + durationMs <= entry.at + 5000;
        if (isInTime && entry.isHeavy) heavyServed += 1;
        else if (isInTime) lightServed += 1;
        scheduler.after(durationMs, () => complete(verdict.id));
      }
    }
    function complete(id: number): void {
      router.onRunCompleted(moment(scheduler.now), id);
      applyVerdicts();
    }
    function arrive(id: number): void {
      const isHeavy = seeded.isLikely(0.4);
      if (isHeavy) heavyAsked += 1;
      else lightAsked += 1;
      requests.set(id, { isHeavy, at: scheduler.now });
      router.onRequest(moment(scheduler.now), {
        id,
        method: 'POST',
        path: isHeavy ? '/h' : '/l',
        model: 'm',
        adapter: '',
        prefixBlocks: [],
      });
      applyVerdicts();
    }
    function tick(): void {
      router.tick(moment(scheduler.now));
      applyVerdicts();
      if (scheduler.now < 30_000) scheduler.after(25, tick);
    }
    tick();
    // Eight slots at 400 ms serve 20 requests per second; 40 per second arrive.
    for (let id = 1; id <= 800; id += 1)
      scheduler.at(seeded.between(0, 20_000), arrive.bind(undefined, id));
    scheduler.runUntil(40_000);
    results.push({
      order,
      heavyServed,
      lightServed,
      heavyAsked,
      lightAsked,
      mostWaitOfTurnedAwayMs: Math.round(maxRejectionWaitMs),
    });
  }
  return results;
}

/** Mean time of a request through the proxy and through a bare HTTP relay. */
export interface ProxyOverheadMeasure {
  readonly rounds: number;
  readonly proxyMs: number;
  readonly relayMs: number;
  readonly ratio: number;
}

/** Measures the time of a request through the proxy, and its ratio to a bare relay with Node's `http` in the same run. */
export async function measureProxyOverhead(rounds: number): Promise<ProxyOverheadMeasure> {
  const backEndServer = createServer((asked: IncomingMessage, returned: ServerResponse) => {
    asked.resume();
    returned.end('{"ok":true}');
  });
  const backEndAddress = `127.0.0.1:${await bindServer(backEndServer, '127.0.0.1:0')}`;
  const { host, port } = parseAddress(backEndAddress);
  const relayServer = createServer((asked: IncomingMessage, returned: ServerResponse) => {
    const sent = request({ host, port, method: asked.method, path: '/run', agent: false });
    sent.once('response', (inner: IncomingMessage) => {
      returned.writeHead(inner.statusCode ?? 502, { 'content-type': 'application/json' });
      inner.pipe(returned);
    });
    asked.pipe(sent);
  });
  const relayAddress = `127.0.0.1:${await bindServer(relayServer, '127.0.0.1:0')}`;
  const router = new PolicyRouter({
    ...POLICY_ROUTER_DEFAULTS,
    freshnessBoundMs: 1e9,
    proxyId: 'f',
  });
  const now = monotonicNow();
  router.onUpdate(
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
    { id: 'r', address: backEndAddress, zone: 'z', service: '', slots: 64, upMs: 60_000 },
  ];
  router.onUpdate(
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
  router.onFreshnessConfirmed(router.startFreshnessRequest(now), { epoch: 0, count: 0 }, 0);
  const forwarder = new PolicyForwarder(
    router,
    { maxBodyBytes: 65_536, connectTimeoutMs: 500, idleTimeoutMs: 20_000 },
    new Counters(),
    monotonicNow,
  );
  const proxyAddress = `127.0.0.1:${await forwarder.listen('127.0.0.1:0')}`;
  const body = JSON.stringify({ model: 'm', prompt: 'x'.repeat(500) });
  let [proxyMs, relayMs] = [0, 0];
  for (let round = 0; round < rounds + 50; round += 1) {
    // The two alternate, so that other load on the machine affects both alike; the first fifty rounds warm up.
    const proxy = await requestMs(proxyAddress, body);
    const relay = await requestMs(relayAddress, body);
    if (round < 50) continue;
    proxyMs += proxy;
    relayMs += relay;
  }
  await forwarder.stop(0);
  for (const server of [backEndServer, relayServer]) {
    server.closeAllConnections();
    server.close();
  }
  return { rounds, proxyMs: proxyMs / rounds, relayMs: relayMs / rounds, ratio: proxyMs / relayMs };
}

function requestMs(address: string, body: string): Promise<number> {
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
