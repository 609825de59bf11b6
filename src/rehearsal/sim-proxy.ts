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
import { SimClients, type SimClient, type CallerRequest } from './sim-clients.js';
import { BLIND_MS, type SimAgent } from './sim-agent.js';
import type { ConnectionHandler, SimConnection } from './sim-connection.js';
import { SimNode } from './sim-node.js';
import type { SimEnvironment } from './sim-environment.js';
import type { MutationKind } from './mutation.js';

/** The `late` limits of the first table's rows by type of request, ms. */
export const LATE_MS = { check: 10_000, sum: 4000, lookup: 2000 } as const;
/** Ticks between two freshness requests. */
const FRESHNESS_INTERVAL_TICKS = 12;
const IDLE_TIMEOUT_MS = 5000;
const DRAIN_TIMEOUT_MS = 20_000;

/** A simulated proxy: the production router and request state machines; connections, back ends and callers are simulated. */
export class SimProxy extends SimNode {
  readonly #agent: SimAgent;
  readonly #seeded: SeededRandom;
  readonly #network: Network;
  readonly #trace: NodeTrace;
  readonly #outside: SimEnvironment;
  readonly #onWrite: (runner: string) => void;
  readonly #clients: SimClients;
  readonly #mutation: MutationKind | '';
  readonly #connections: ProxyConnections;
  #router: PolicyRouter | undefined;
  #inFlightRequests: InFlightRequests | undefined;
  #probes: ConnectionProbes | undefined;
  readonly #probeConnections = new Map<string, SimConnection>();
  #ticks = 0;
  #isDraining = false;
  #isDrainingSteps = false;
  #firstConfig: string | undefined;

  constructor(
    id: string,
    scheduler: Scheduler,
    seeded: SeededRandom,
    network: Network,
    outside: SimEnvironment,
    agent: SimAgent,
    records: CallerRecord[],
    onWrite: (runner: string) => void,
    mutation: MutationKind | '',
  ) {
    super(id, scheduler, seeded.between(0, 1e6), 25);
    this.#seeded = seeded;
    this.#network = network;
    this.#trace = new NodeTrace(id, scheduler, network.trace);
    this.#outside = outside;
    this.#onWrite = onWrite;
    this.#agent = agent;
    this.#mutation = mutation;
    this.#clients = new SimClients(id, scheduler, records, this.#trace);
    this.#connections = new ProxyConnections({
      clients: this.#clients,
      mutation,
      inFlightRequests: () => this.#currentRequests(),
      now: () => this.now(),
      perform: (run) => this.perform(run),
      schedule: (millis, run) => this.later(millis, run),
      applySteps: () => this.#drainSteps(),
      open: (back, hear) => this.#open(back, hear),
    });
    agent.proxies.set(id, this);
    scheduler.after(seeded.between(0, 200), () => this.#sendTraffic());
  }

  #currentRequests(): InFlightRequests | undefined {
    return this.#inFlightRequests;
  }

  /** The proxy's router; undefined while the process is down. */
  get router(): PolicyRouter | undefined {
    return this.#router;
  }
  /** Number of open requests. */
  get open(): number {
    return this.#clients.size;
  }
  /** The age of the oldest open request, ms. */
  get oldestRequestMs(): number {
    return this.#clients.oldestRequestMs();
  }
  /** Whether a planned stop is in progress. */
  get isDraining(): boolean {
    return this.#isDraining;
  }

  protected boot(): void {
    const isNeverStale = this.#mutation === 'never-blind';
    const retries = this.#mutation === 'no-budget' ? { retryShare: 1, extraRetries: 1000 } : {};
    const slowStart = this.#mutation === 'no-ramp' ? { slowStartMs: 1 } : {};
    this.#router = new PolicyRouter({
      ...POLICY_ROUTER_DEFAULTS,
      ...retries,
      ...slowStart,
      freshnessBoundMs: isNeverStale ? 1e9 : BLIND_MS,
      proxyId: this.id,
      incarnation: this.incarnation,
    });
    this.#inFlightRequests = new InFlightRequests(
      this.#router,
      { connectTimeoutMs: 500, idleTimeoutMs: IDLE_TIMEOUT_MS },
      new Counters(),
    );
    this.#probes = new ConnectionProbes(this.#router);
    this.#isDraining = false;
  }

  protected onKilled(): void {
    this.#router = undefined;
    this.#inFlightRequests = undefined;
    this.#connections.closeAll();
    for (const connection of this.#probeConnections.values()) connection.close();
    this.#probeConnections.clear();
    this.#clients.onProxyExit();
  }

  /** Begins a planned stop; calls `done` once all requests have ended, or after the drain timeout. */
  retire(done: () => void): void {
    if (!this.isUp || this.#isDraining) return;
    this.#isDraining = true;
    const node = {
      inFlightRequests: this.#inFlightRequests,
      obey: () => this.#drainSteps(),
      now: () => this.now(),
    };
    this.perform(() => {
      node.inFlightRequests?.startDraining(node.now());
      node.obey();
    });
    const end = this.scheduler.now + (this.#mutation === 'drain-cuts' ? 50 : DRAIN_TIMEOUT_MS);
    this.#awaitIdle(end, done);
  }

  #awaitIdle(end: number, done: () => void): void {
    if (!this.#isDraining || !this.isUp) return;
    if ((this.#inFlightRequests?.size ?? 0) === 0 || this.scheduler.now >= end) done();
    else this.scheduler.after(25, () => this.#awaitIdle(end, done));
  }

  protected tick(): void {
    const decision = this.#router;
    if (!decision) return;
    this.#ticks += 1;
    this.#inFlightRequests?.tick(this.now());
    this.#probes?.setBackends(this.now(), decision.probedBackends());
    this.#probes?.tick(this.now());
    if (this.#ticks % FRESHNESS_INTERVAL_TICKS === 0) {
      this.#sendToAgent({
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
      this.#sendToAgent({
        kind: 'demand',
        body: JSON.stringify({ flow: this.id, ...decision.takeDemand() }),
      });
    this.#drainSteps();
  }

  // ---- requests of callers

  #sendTraffic(): void {
    this.scheduler.after(this.#seeded.between(50, 200), () => this.#sendTraffic());
    this.send(drawTraffic(this.scheduler, this.#seeded));
  }

  /** A caller's request arrives at the machine; the process handles it once it is not frozen. */
  send(traffic: CallerRequest): void {
    if (!this.isUp || this.#isDraining) return;
    const client = this.#clients.begin(traffic);
    this.perform(() => this.#startRequest(client));
    // Some callers disconnect, and some stop reading.
    if (this.#seeded.isLikely(0.04))
      this.later(this.#seeded.between(0, 1500), () => this.#disconnect(client));
    if (this.#seeded.isLikely(0.01)) client.isReading = false;
  }

  #startRequest(client: SimClient): void {
    const { method, path, model, adapter } = client.traffic;
    this.#inFlightRequests?.onRequest(this.now(), {
      id: client.id,
      method,
      path,
      model,
      adapter,
      prefixBlocks: [],
    });
    this.#drainSteps();
  }

  #disconnect(client: SimClient): void {
    if (!this.#clients.get(client.id)) return;
    this.#clients.onDisconnect(client);
    this.#inFlightRequests?.onClientDisconnect(this.now(), client.id);
    this.#drainSteps();
  }

  // ---- steps

  #drainSteps(): void {
    if (this.#isDrainingSteps) return;
    this.#isDrainingSteps = true;
    for (
      let steps = this.#inFlightRequests?.drainSteps() ?? [];
      steps.length > 0;
      steps = this.#inFlightRequests?.drainSteps() ?? []
    ) {
      for (const step of steps) {
        this.#trace.record('step', stepValues(step));
        this.#executeStep(step);
      }
    }
    for (const step of this.#probes?.drainSteps() ?? []) this.#executeProbeStep(step);
    this.#isDrainingSteps = false;
  }

  #executeProbeStep(step: ConnectionProbeStep): void {
    this.#trace.record('probe', probeValues(step));
    this.#probeConnections.get(step.id)?.close();
    this.#probeConnections.delete(step.id);
    if (step.do === 'close') return;
    const { id, generation: count } = step;
    const proxy = {
      probes: this.#probes,
      inFlightRequests: this.#inFlightRequests,
      now: () => this.now(),
      obey: () => this.#drainSteps(),
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
    this.#probeConnections.set(
      id,
      this.#open(id, { connected, head: ignore, text: ignore, ended: broke, broke }),
    );
  }

  #open(back: string, hear: ConnectionHandler): SimConnection {
    const isCut = () => this.#network.isCut(this.#agent.id, back);
    return this.#outside.open(back, isCut, () => this.#network.delay(), hear);
  }

  #executeStep(step: ForwardStep): void {
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
        if (client) this.#clients.onComplete(client);
        this.#connections.release(step.id, true);
        break;
      case 'abort':
        if (client) this.#abort(client);
        this.#connections.release(step.id, false);
        break;
      case 'cancel':
        if (attempt?.attempt === step.attempt) this.#connections.release(step.id, false);
        break;
      case 'respondError':
        if (client) this.#respondError(client, step);
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

  #respondError(client: SimClient, step: Extract<ForwardStep, { do: 'respondError' }>): void {
    const table = this.#router?.tableNumber ?? -1;
    const isUnsureMutation = this.#mutation === 'unsure-run-as-no' && step.kind === 'unsure-run';
    const respond = this.#clients.onErrorResponse.bind(
      this.#clients,
      client,
      isUnsureMutation ? 'crowded' : step.kind,
      step.retryMs,
      table,
    );
    if (this.#mutation === 'no-kept-back') this.later(LATE_MS.check * 0.9, respond);
    else respond();
  }

  #abort(client: SimClient): void {
    if (this.#mutation !== 'streams-resumed') {
      this.#clients.onAbort(client);
      return;
    }
    // The mutated proxy continues a broken response with the response of another run.
    const next = this.#clients.alias(client);
    this.later(1, () => this.#startRequest(next));
  }

  // ---- updates from the agent

  #sendToAgent(message: Message): void {
    const agent = this.#agent;
    this.#trace.message(agent.id, message);
    const receive = () => agent.receive(this.id, message);
    this.scheduler.after(0.1, () => agent.perform(receive));
  }

  receive(_from: string, message: Message): void {
    const decision = this.#router;
    if (!decision) return;
    if (message.kind === 'update') {
      this.#onTopicUpdate(
        decision,
        message.topic,
        { epoch: message.epoch, count: message.count },
        message.body,
      );
      if (message.topic === 'config') this.#sendToAgent({ kind: 'ack', ...decision.configVersion });
    } else if (message.kind === 'freshnessReply') {
      decision.onFreshnessConfirmed(
        message.nonce,
        message,
        this.#mutation === 'marks-ignored' ? 0 : message.marks,
      );
    }
    this.#inFlightRequests?.applyVerdicts(this.now());
    this.#drainSteps();
  }

  #onTopicUpdate(decision: PolicyRouter, topic: string, version: Version, body: string): void {
    if (this.#mutation === 'marks-ignored' && topic === 'machines') return;
    if (topic !== 'config') {
      decision.onUpdate(this.now(), topic, version, body);
      return;
    }
    if (this.#mutation === 'versions-unchecked') {
      // The mutated proxy accepts any version, and some updates are replaced by an old configuration.
      this.#firstConfig ??= body;
      const isOld =
        compareVersions(decision.configVersion, NO_VERSION) > 0 && this.#seeded.isLikely(0.3);
      decision.onUpdate(this.now(), topic, version, isOld ? this.#firstConfig : body);
      return;
    }
    let mutatedBody = body;
    if (this.#mutation === 'emptied-ignored')
      mutatedBody = body.replace(/"emptied":\[[^\]]*\]/, '"emptied":[]');
    if (this.#mutation === 'once-repeated')
      mutatedBody = body.replaceAll('"repeatable":false', '"repeatable":true');
    decision.onUpdate(this.now(), topic, version, mutatedBody);
  }

  onDisconnect(): void {
    /* a closed connection to its agent changes nothing: the proxy repeats its freshness request */
  }
}

function ignore(): void {
  /* a probe sends no request, so it receives no response */
}
