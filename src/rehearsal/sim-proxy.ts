import { PolicyRouter } from '../proxy/policy-router.js';
import { POLICY_ROUTER_DEFAULTS } from '../proxy/policy-router-types.js';
import { InFlightRequests, type ForwardStep } from '../proxy/in-flight-requests.js';
import { ConnectionProbes, type ConnectionProbeStep } from '../proxy/connection-probes.js';
import { Counters } from '../common/counters.js';
import type { Message } from '../common/messages.js';
import { compareVersions, NO_VERSION, type Version } from '../common/version.js';
import type { Scheduler } from './scheduler.js';
import type { Network } from './network.js';
import { drawTraffic } from './caller-traffic.js';
import { ProxyConnections } from './proxy-connections.js';
import { NodeTrace } from './node-trace.js';
import { probeValues, stepValues } from './proxy-trace.js';
import type { CallerRecord } from './records.js';
import type { SeededRandom } from './seeded-random.js';
import { SimClients, type SimClient, type Traffic } from './sim-clients.js';
import { BLIND_MS, type SimAgent } from './sim-agent.js';
import type { Hear, SimConnection } from './sim-connection.js';
import { SimNode } from './sim-node.js';
import type { SimOutside } from './sim-outside.js';
import type { MutationKind } from './mutation.js';

export const LATE_MS = { check: 10_000, sum: 4000, lookup: 2000 } as const;
const ASK_EVERY = 12;
const SILENT_MS = 5000;
const DRAIN_MS = 20_000;

/** A simulated proxy: the real decision and passages; connections, back ends and callers are simulated around them. */
export class SimProxy extends SimNode {
  readonly #agent: SimAgent;
  readonly #seeded: SeededRandom;
  readonly #network: Network;
  readonly #trace: NodeTrace;
  readonly #outside: SimOutside;
  readonly #onWrite: (runner: string) => void;
  readonly #clients: SimClients;
  readonly #wrong: MutationKind | '';
  readonly #connections: ProxyConnections;
  #decision: PolicyRouter | undefined;
  #inFlightRequests: InFlightRequests | undefined;
  #probes: ConnectionProbes | undefined;
  readonly #watchLines = new Map<string, SimConnection>();
  #ticks = 0;
  #isDraining = false;
  #isObeying = false;
  #oldConfig: string | undefined;

  constructor(
    id: string,
    scheduler: Scheduler,
    seeded: SeededRandom,
    network: Network,
    outside: SimOutside,
    agent: SimAgent,
    records: CallerRecord[],
    onWrite: (runner: string) => void,
    wrong: MutationKind | '',
  ) {
    super(id, scheduler, seeded.between(0, 1e6), 25);
    this.#seeded = seeded;
    this.#network = network;
    this.#trace = new NodeTrace(id, scheduler, network.trace);
    this.#outside = outside;
    this.#onWrite = onWrite;
    this.#agent = agent;
    this.#wrong = wrong;
    this.#clients = new SimClients(id, scheduler, records, this.#trace);
    this.#connections = new ProxyConnections({
      clients: this.#clients,
      mutation: wrong,
      inFlightRequests: () => this.#currentRequests(),
      now: () => this.now(),
      perform: (run) => this.perform(run),
      schedule: (millis, run) => this.later(millis, run),
      applySteps: () => this.#obey(),
      open: (back, hear) => this.#open(back, hear),
    });
    agent.proxies.set(id, this);
    scheduler.after(seeded.between(0, 200), () => this.#call());
  }

  #currentRequests(): InFlightRequests | undefined {
    return this.#inFlightRequests;
  }

  get decision(): PolicyRouter | undefined {
    return this.#decision;
  }
  get open(): number {
    return this.#clients.size;
  }
  get longestMs(): number {
    return this.#clients.longestMs();
  }
  get isDraining(): boolean {
    return this.#isDraining;
  }

  protected boot(): void {
    const isNever = this.#wrong === 'never-blind';
    const retries = this.#wrong === 'no-budget' ? { retryShare: 1, extraRetries: 1000 } : {};
    const slowStart = this.#wrong === 'no-ramp' ? { slowStartMs: 1 } : {};
    this.#decision = new PolicyRouter({
      ...POLICY_ROUTER_DEFAULTS,
      ...retries,
      ...slowStart,
      freshnessBoundMs: isNever ? 1e9 : BLIND_MS,
      proxyId: this.id,
      incarnation: this.incarnation,
    });
    this.#inFlightRequests = new InFlightRequests(
      this.#decision,
      { connectTimeoutMs: 500, idleTimeoutMs: SILENT_MS },
      new Counters(),
    );
    this.#probes = new ConnectionProbes(this.#decision);
    this.#isDraining = false;
  }

  protected died(): void {
    this.#decision = undefined;
    this.#inFlightRequests = undefined;
    this.#connections.closeAll();
    for (const line of this.#watchLines.values()) line.close();
    this.#watchLines.clear();
    this.#clients.lost();
  }

  /** A planned stop: what runs may end; says so once it has. */
  retire(done: () => void): void {
    if (!this.isUp || this.#isDraining) return;
    this.#isDraining = true;
    const node = {
      inFlightRequests: this.#inFlightRequests,
      obey: () => this.#obey(),
      now: () => this.now(),
    };
    this.perform(() => {
      node.inFlightRequests?.startDraining(node.now());
      node.obey();
    });
    const end = this.scheduler.now + (this.#wrong === 'drain-cuts' ? 50 : DRAIN_MS);
    this.#awaitIdle(end, done);
  }

  #awaitIdle(end: number, done: () => void): void {
    if (!this.#isDraining || !this.isUp) return;
    if ((this.#inFlightRequests?.size ?? 0) === 0 || this.scheduler.now >= end) done();
    else this.scheduler.after(25, () => this.#awaitIdle(end, done));
  }

  protected tick(): void {
    const decision = this.#decision;
    if (!decision) return;
    this.#ticks += 1;
    this.#inFlightRequests?.tick(this.now());
    this.#probes?.setBackends(this.now(), decision.probedBackends());
    this.#probes?.tick(this.now());
    if (this.#ticks % ASK_EVERY === 0) {
      this.#tell({
        kind: 'freshnessRequest',
        nonce: decision.startFreshnessRequest(this.now()),
        have: [
          { topic: 'config', ...decision.configVersion },
          { topic: 'places', ...decision.placesVersion },
          { topic: 'machines', epoch: 0, count: decision.runnerListRevision },
        ],
        members: [],
      });
    }
    if (this.#ticks % 40 === 0)
      this.#tell({
        kind: 'demand',
        body: JSON.stringify({ flow: this.id, ...decision.takeDemand() }),
      });
    this.#obey();
  }

  // ---- callers

  #call(): void {
    this.scheduler.after(this.#seeded.between(50, 200), () => this.#call());
    this.send(drawTraffic(this.scheduler, this.#seeded));
  }

  /** A caller's request reaches the machine; the process takes it once it is awake. */
  send(traffic: Traffic): void {
    if (!this.isUp || this.#isDraining) return;
    const client = this.#clients.begin(traffic);
    this.perform(() => this.#take(client));
    // Some leave, and some read no further.
    if (this.#seeded.isLikely(0.04))
      this.later(this.#seeded.between(0, 1500), () => this.#leave(client));
    if (this.#seeded.isLikely(0.01)) client.isReading = false;
  }

  #take(client: SimClient): void {
    const { method, path, model, adapter } = client.traffic;
    this.#inFlightRequests?.onRequest(this.now(), {
      id: client.id,
      method,
      path,
      model,
      adapter,
      prefixBlocks: [],
    });
    this.#obey();
  }

  #leave(client: SimClient): void {
    if (!this.#clients.get(client.id)) return;
    this.#clients.left(client);
    this.#inFlightRequests?.onClientDisconnect(this.now(), client.id);
    this.#obey();
  }

  // ---- steps

  #obey(): void {
    if (this.#isObeying) return;
    this.#isObeying = true;
    for (
      let steps = this.#inFlightRequests?.drainSteps() ?? [];
      steps.length > 0;
      steps = this.#inFlightRequests?.drainSteps() ?? []
    ) {
      for (const step of steps) {
        this.#trace.record('step', stepValues(step));
        this.#carryOut(step);
      }
    }
    for (const step of this.#probes?.drainSteps() ?? []) this.#watch(step);
    this.#isObeying = false;
  }

  #watch(step: ConnectionProbeStep): void {
    this.#trace.record('probe', probeValues(step));
    this.#watchLines.get(step.id)?.close();
    this.#watchLines.delete(step.id);
    if (step.do === 'close') return;
    const { id, generation: count } = step;
    const proxy = {
      probes: this.#probes,
      inFlightRequests: this.#inFlightRequests,
      now: () => this.now(),
      obey: () => this.#obey(),
      perform: (run: () => void) => this.perform(run),
    };
    const connected = proxy.perform.bind(undefined, () => {
      proxy.probes?.onOpen(proxy.now(), id, count);
      proxy.inFlightRequests?.applyVerdicts(proxy.now());
      proxy.obey();
    });
    const broke = proxy.perform.bind(undefined, () => {
      proxy.probes?.onClose(proxy.now(), id, count);
      proxy.obey();
    });
    this.#watchLines.set(
      id,
      this.#open(id, { connected, head: ignore, text: ignore, ended: broke, broke }),
    );
  }

  #open(back: string, hear: Hear): SimConnection {
    const isCut = () => this.#network.isCut(this.#agent.id, back);
    return this.#outside.open(back, isCut, () => this.#network.delay(), hear);
  }

  #carryOut(step: ForwardStep): void {
    const client = this.#clients.get(step.id);
    const attempt = this.#connections.get(step.id);
    switch (step.do) {
      case 'connect':
        if (client) this.#connections.connect(client.id, step);
        break;
      case 'write':
        this.#write(step.id, step.attempt);
        break;
      case 'forward':
        if (client) client.table = step.table;
        break;
      case 'complete':
        if (client) this.#clients.finished(client);
        this.#connections.release(step.id, true);
        break;
      case 'abort':
        if (client) this.#break(client);
        this.#connections.release(step.id, false);
        break;
      case 'cancel':
        if (attempt?.attempt === step.attempt) this.#connections.release(step.id, false);
        break;
      case 'respondError':
        if (client) this.#say(client, step);
        this.#connections.release(step.id, false);
        break;
    }
  }

  #write(id: number, number: number): void {
    const client = this.#clients.get(id);
    const attempt = this.#connections.get(id);
    if (!client || attempt?.attempt !== number) return;
    const { model, adapter, tokens } = client.traffic;
    this.#onWrite(attempt.backEnd);
    const at = this.scheduler.now;
    attempt.connection.write({ id: client.requestId, model, adapter, tokens, at });
  }

  #say(client: SimClient, step: Extract<ForwardStep, { do: 'respondError' }>): void {
    const table = this.#decision?.tableNumber ?? -1;
    const isWrongNo = this.#wrong === 'unsure-run-as-no' && step.kind === 'unsure-run';
    const tell = this.#clients.told.bind(
      this.#clients,
      client,
      isWrongNo ? 'crowded' : step.kind,
      step.retryMs,
      table,
    );
    if (this.#wrong === 'no-kept-back') this.later(LATE_MS.check * 0.9, tell);
    else tell();
  }

  #break(client: SimClient): void {
    if (this.#wrong !== 'streams-resumed') {
      this.#clients.broken(client);
      return;
    }
    // As if another run could go on where the broken one ended.
    const next = this.#clients.alias(client);
    this.later(1, () => this.#take(next));
  }

  // ---- news

  #tell(message: Message): void {
    const agent = this.#agent;
    this.#trace.message(agent.id, message);
    const receive = () => agent.receive(this.id, message);
    this.scheduler.after(0.1, () => agent.perform(receive));
  }

  receive(_from: string, message: Message): void {
    const decision = this.#decision;
    if (!decision) return;
    if (message.kind === 'update') {
      this.#news(
        decision,
        message.topic,
        { epoch: message.epoch, count: message.count },
        message.body,
      );
      if (message.topic === 'config') this.#tell({ kind: 'ack', ...decision.configVersion });
    } else if (message.kind === 'freshnessReply') {
      decision.onFreshnessConfirmed(
        message.nonce,
        message,
        this.#wrong === 'marks-ignored' ? 0 : message.marks,
      );
    }
    this.#inFlightRequests?.applyVerdicts(this.now());
    this.#obey();
  }

  #news(decision: PolicyRouter, topic: string, version: Version, body: string): void {
    if (this.#wrong === 'marks-ignored' && topic === 'machines') return;
    if (topic !== 'config') {
      decision.onUpdate(this.now(), topic, version, body);
      return;
    }
    if (this.#wrong === 'versions-unchecked') {
      // It takes whatever comes, and now and then something old comes.
      this.#oldConfig ??= body;
      const isOld =
        compareVersions(decision.configVersion, NO_VERSION) > 0 && this.#seeded.isLikely(0.3);
      decision.onUpdate(this.now(), topic, version, isOld ? this.#oldConfig : body);
      return;
    }
    let wrong = body;
    if (this.#wrong === 'emptied-ignored')
      wrong = body.replace(/"emptied":\[[^\]]*\]/, '"emptied":[]');
    if (this.#wrong === 'once-repeated')
      wrong = body.replaceAll('"repeatable":false', '"repeatable":true');
    decision.onUpdate(this.now(), topic, version, wrong);
  }

  gone(): void {
    /* its agent's line closing changes nothing here: it asks again */
  }
}

function ignore(): void {
  /* a probe asks nothing */
}
