import { interval, Subscription } from 'rxjs';
import type { Logger } from 'pino';
import { monotonicNow } from '../common/clock.js';
import type { BoundedRequest } from '../common/bounded-request.js';
import { BoundedServer } from '../common/bounded-server.js';
import { Counters } from '../common/counters.js';
import type { HaretrackError } from '../common/errors.js';
import { IntakeReport } from '../common/intake-report.js';
import { STATUS_PORT_LIMITS, type IntakeLimits } from '../common/intake-limits.js';
import { parseAs } from '../common/json.js';
import { newIncarnation } from '../common/incarnation.js';
import { bindServer, parseAddress } from '../common/listen.js';
import type { KnownVersion, Message } from '../common/messages.js';
import { isBodyPending } from '../common/request-body.js';
import { compareVersions, NO_VERSION, versionText, type Version } from '../common/version.js';
import { ConfigUpdateShape } from '../control/config-shapes.js';
import { Exchange, type Incoming } from '../dissemination/exchange.js';
import { DrainingRunnerIds } from '../dissemination/draining-runner-ids.js';
import { applyFleetDelta, FleetDeltaShape, FleetShape, type Fleet } from '../placement/fleet.js';
import type { ConfigDialect } from '../route/routing.js';
import { Dispatcher, type DispatcherSettings } from './dispatcher.js';
import { Forwarder } from './forwarder.js';
import type { RequestDialect } from './request-dialect.js';
import { RunnerAgent } from './runner-agent.js';

/** Settings of a proxy process that routes by the operators' routes. Addresses are `host:port`. */
export interface ProxySettings {
  readonly listen: string;
  readonly readiness: string;
  readonly readyPath: string;
  /** The address of the local agent. */
  readonly agentAddress: string;
  readonly zone: string;
  readonly dispatcher: Omit<
    DispatcherSettings,
    'proxyId' | 'zone' | 'random' | 'hasIdleConnection'
  >;
  /** How long a graceful shutdown may take. */
  readonly graceMs: number;
  /** How long the proxy goes on serving new requests after it has stopped reporting itself ready. */
  readonly lameDuckMs: number;
  /** What clients may occupy of the process. */
  readonly intake?: IntakeLimits;
}

const TICK_MS = 50;
const REPORT_EVERY_TICKS = 10;
const URGENT_REPORT_DELAY_MS = 10;
/** The part of `graceMs` that a graceful shutdown leaves unused. */
const GRACE_MARGIN_MS = 700;

/** A proxy that routes by the operators' routes: the forwarder, a readiness endpoint, and the connection to the local agent. */
export class ProxyProcess {
  readonly #settings: ProxySettings;
  readonly #configDialect: ConfigDialect;
  readonly #log: Logger;
  readonly #counters = new Counters();
  readonly #intakeReport: IntakeReport;
  readonly #id: string;
  readonly #exchange: Exchange;
  readonly #dispatcher: Dispatcher;
  readonly #forwarder: Forwarder;
  readonly #readiness: BoundedServer;
  readonly #subscription = new Subscription();
  readonly #versions = new Map<string, Version>();
  readonly #drainingRunners = new DrainingRunnerIds();
  #routingText = '';
  #fleet: Fleet | undefined;
  #ticks = 0;
  #nonce = newIncarnation();
  #wasReady = false;
  #urgentReport: NodeJS.Timeout | undefined;

  constructor(
    settings: ProxySettings,
    configDialect: ConfigDialect,
    requestDialect: RequestDialect,
    log: Logger,
  ) {
    this.#settings = settings;
    this.#configDialect = configDialect;
    this.#log = log;
    this.#intakeReport = new IntakeReport(this.#counters, log);
    this.#id = `flow@${settings.listen}`;
    this.#exchange = new Exchange(
      { id: this.#id, role: 'flow', zone: settings.zone, listen: '', reach: {} },
      (error) => this.#onExchangeError(error),
    );
    const agent = new RunnerAgent();
    function hasIdle(address: string): boolean {
      const { host, port } = parseAddress(address);
      return agent.hasIdleConnection(host, port);
    }
    this.#dispatcher = new Dispatcher({
      ...settings.dispatcher,
      proxyId: this.#id,
      zone: settings.zone,
      random: Math.random,
      hasIdleConnection: hasIdle,
    });
    this.#forwarder = new Forwarder(
      this.#dispatcher,
      requestDialect,
      this.#counters,
      monotonicNow,
      () => this.#afterEffects(),
      agent,
      settings.intake,
    );
    this.#readiness = new BoundedServer({
      limits: STATUS_PORT_LIMITS,
      counters: this.#counters,
      options: { keepAliveTimeout: 30_000 },
      onRequest: (request) => this.#answerReadiness(request),
    });
  }

  /** Starts listening for clients and readiness checks, and connects to the agent. */
  async start(): Promise<void> {
    this.#subscription.add(
      this.#exchange.incoming$.subscribe((incoming: Incoming) => this.#onMessage(incoming)),
    );
    await this.#forwarder.listen(this.#settings.listen);
    await bindServer(this.#readiness.http, this.#settings.readiness);
    this.#subscription.add(interval(TICK_MS).subscribe(() => this.#tick()));
    this.#tick();
    this.#intakeReport.start();
    this.#log.info({ zone: this.#settings.zone }, 'proxy started');
  }

  /** Reports itself unready, goes on serving new requests for the lame-duck period, then waits for those in flight. */
  async stop(): Promise<void> {
    const { graceMs, lameDuckMs: maxWaitMs } = this.#settings;
    this.#log.info({ running: this.#forwarder.size, ...this.counters() }, 'proxy draining');
    this.#dispatcher.startDraining();
    this.#forwarder.startDraining();
    const waitMs = Math.min(maxWaitMs, graceMs / 2);
    await new Promise<void>((done: () => void) => {
      setTimeout(done, waitMs);
    });
    await this.#forwarder.close(Math.max(100, graceMs - waitMs - GRACE_MARGIN_MS));
    this.#subscription.unsubscribe();
    this.#intakeReport.stop();
    this.#readiness.http.close();
    this.#readiness.http.closeAllConnections();
    this.#exchange.close();
  }

  /** The counters and versions to report, by name. */
  counters(): object {
    return {
      ...this.#counters.all(),
      ...this.#dispatcher.counts,
      config: versionText(this.#version('config')),
      fleet: versionText(this.#version('fleet')),
    };
  }

  #version(topic: string): Version {
    return this.#versions.get(topic) ?? NO_VERSION;
  }

  #onExchangeError(error: HaretrackError): void {
    this.#counters.add(`defects.${error.code}`);
    this.#log.warn({ defect: error.code }, error.message);
  }

  #answerReadiness({ request, response }: BoundedRequest): void {
    const isKnown = request.method === 'GET' && request.url === this.#settings.readyPath;
    const status = !isKnown ? 404 : this.#dispatcher.isReady ? 200 : 503;
    if (isBodyPending(request)) this.#readiness.refuse(request, response, status);
    else response.writeHead(status, { 'content-length': 0 }).end();
  }

  #tick(): void {
    this.#exchange.dial(this.#settings.agentAddress);
    this.#forwarder.tick();
    // Until the first updates have arrived they are requested at every other tick: the agent may not have been connected
    // yet when the first request was sent.
    const isInformed = this.#versions.has('config') && this.#versions.has('fleet');
    if (this.#ticks % (2 * REPORT_EVERY_TICKS) === 0 || (!isInformed && this.#ticks % 2 === 0))
      this.#requestUpdates();
    this.#ticks += 1;
    if (this.#ticks % REPORT_EVERY_TICKS === REPORT_EVERY_TICKS / 2) this.#reportDemand();
    const isReady = this.#dispatcher.isReady;
    if (isReady !== this.#wasReady)
      this.#log.info({ ready: isReady, ...this.counters() }, 'readiness');
    this.#wasReady = isReady;
  }

  #requestUpdates(): void {
    this.#drainingRunners.tick(monotonicNow());
    const have: KnownVersion[] = [...this.#drainingRunners.summary()];
    for (const [topic, version] of this.#versions) have.push({ topic, ...version });
    this.#nonce += 1;
    this.#exchange.send(this.#settings.agentAddress, {
      kind: 'freshnessRequest',
      nonce: this.#nonce,
      have,
      members: [],
    });
  }

  /** Reports urgent demand after a short delay, so that one report covers several requests. */
  #afterEffects(): void {
    if (!this.#dispatcher.takeUrgentDemand() || this.#urgentReport) return;
    this.#urgentReport = setTimeout(() => this.#reportDemand(), URGENT_REPORT_DELAY_MS);
  }

  #reportDemand(): void {
    if (this.#urgentReport) clearTimeout(this.#urgentReport);
    this.#urgentReport = undefined;
    const demand = this.#dispatcher.takeDemandReport(monotonicNow());
    if (demand.units.length > 0)
      this.#exchange.send(this.#settings.agentAddress, {
        kind: 'demand',
        body: JSON.stringify(demand),
      });
  }

  #onMessage(incoming: Incoming): void {
    const { message } = incoming;
    if (message.kind === 'delta') this.#onFleetDelta(message);
    if (message.kind === 'leaving') this.#onDrainingRunners(message.runners);
    if (message.kind !== 'update') return;
    const version = { epoch: message.epoch, count: message.count };
    // Updates that are not newer than the current version are ignored.
    if (compareVersions(version, this.#version(message.topic)) <= 0) return;
    const now = monotonicNow();
    if (message.topic === 'config') this.#onConfiguration(now, message.body);
    else if (message.topic === 'fleet') {
      const fleet = parseAs(FleetShape, message.body);
      if (fleet) {
        this.#fleet = fleet;
        this.#dispatcher.onFleet(now, fleet);
      }
    }
    this.#versions.set(message.topic, version);
    if (message.topic === 'config') this.#exchange.send(incoming.from, { kind: 'ack', ...version });
    this.#forwarder.applyEffects();
  }

  #onDrainingRunners(runners: readonly string[]): void {
    const now = monotonicNow();
    this.#drainingRunners.add(now, runners);
    this.#dispatcher.onDrainingRunners(now, runners);
    this.#forwarder.applyEffects();
  }

  #onFleetDelta(message: Extract<Message, { kind: 'delta' }>): void {
    const { topic, epoch, from, count, body } = message;
    const known = this.#version(topic);
    const delta = parseAs(FleetDeltaShape, body);
    if (topic !== 'fleet' || !delta || !this.#fleet) return;
    // A delta to a version that is not held here can't be applied: if it leads to a newer one, updates are requested.
    if (known.epoch !== epoch || known.count !== from) {
      if (compareVersions({ epoch, count }, known) > 0) this.#requestUpdates();
      return;
    }
    this.#fleet = applyFleetDelta(this.#fleet, delta);
    this.#versions.set(topic, { epoch, count });
    this.#dispatcher.onFleet(monotonicNow(), this.#fleet);
    this.#forwarder.applyEffects();
  }

  #onConfiguration(now: Moment, body: string): void {
    const update = parseAs(ConfigUpdateShape, body);
    const text = update?.routing?.text ?? '';
    if (!update || text === '') return;
    const known = this.#dispatcher.routing;
    if (text === this.#routingText && known) {
      this.#dispatcher.onConfiguration(now, known, update.emptied);
      return;
    }
    const { routing, faults } = this.#configDialect.read(text);
    if (!routing) {
      this.#log.warn({ faults: faults.length }, 'configuration cannot be parsed');
      return;
    }
    this.#routingText = text;
    this.#dispatcher.onConfiguration(now, routing, update.emptied);
    this.#forwarder.applyLimits();
  }
}

type Moment = ReturnType<typeof monotonicNow>;
