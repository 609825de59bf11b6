import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { interval, Subscription } from 'rxjs';
import type { Logger } from 'pino';
import { monotonicNow } from '../common/clock.js';
import { Counters } from '../common/counters.js';
import type { HaretrackError } from '../common/errors.js';
import { parseAs } from '../common/json.js';
import { newIncarnation } from '../common/incarnation.js';
import { listenOn, splitAddress } from '../common/listen.js';
import type { HaveMessage, Message } from '../common/messages.js';
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

export interface ProxySettings {
  readonly listen: string;
  readonly readiness: string;
  readonly readyPath: string;
  /** The agent beside it. */
  readonly link: string;
  readonly zone: string;
  readonly dispatcher: Omit<DispatcherSettings, 'flow' | 'zone' | 'random' | 'hasIdle'>;
  /** How long a planned stop may take, and how long clients still come after we no longer call ourselves ready. */
  readonly graceMs: number;
  readonly leaveMs: number;
}

const TICK_MS = 50;
const TELL_EVERY = 10;
const URGENT_MS = 10;
/** What a planned stop leaves unused of its span. */
const GRACE_MARGIN_MS = 700;

/** The proxy by routes: the forwarder at its port, readiness at another, and the line to the agent beside it. */
export class ProxyProcess {
  readonly #settings: ProxySettings;
  readonly #configDialect: ConfigDialect;
  readonly #log: Logger;
  readonly #counters = new Counters();
  readonly #me: string;
  readonly #exchange: Exchange;
  readonly #dispatcher: Dispatcher;
  readonly #forwarder: Forwarder;
  readonly #readiness: Server;
  readonly #subscription = new Subscription();
  readonly #versions = new Map<string, Version>();
  readonly #leaving = new DrainingRunnerIds();
  #routingText = '';
  #fleet: Fleet | undefined;
  #ticks = 0;
  #nonce = newIncarnation();
  #wasReady = false;
  #urgent: NodeJS.Timeout | undefined;

  constructor(
    settings: ProxySettings,
    configDialect: ConfigDialect,
    requestDialect: RequestDialect,
    log: Logger,
  ) {
    this.#settings = settings;
    this.#configDialect = configDialect;
    this.#log = log;
    this.#me = `flow@${settings.listen}`;
    this.#exchange = new Exchange(
      { id: this.#me, role: 'flow', zone: settings.zone, listen: '', reach: {} },
      (defect) => this.#tell(defect),
    );
    const agent = new RunnerAgent();
    function hasIdle(address: string): boolean {
      const { host, port } = splitAddress(address);
      return agent.hasIdle(host, port);
    }
    this.#dispatcher = new Dispatcher({
      ...settings.dispatcher,
      flow: this.#me,
      zone: settings.zone,
      random: Math.random,
      hasIdle,
    });
    this.#forwarder = new Forwarder(
      this.#dispatcher,
      requestDialect,
      this.#counters,
      monotonicNow,
      () => this.#afterWork(),
      agent,
    );
    this.#readiness = createServer({ keepAliveTimeout: 30_000 }, (asked, answer) =>
      this.#sayReady(asked, answer),
    );
  }

  async start(): Promise<void> {
    this.#subscription.add(
      this.#exchange.incoming$.subscribe((incoming: Incoming) => this.#receive(incoming)),
    );
    await this.#forwarder.listen(this.#settings.listen);
    await listenOn(this.#readiness, this.#settings.readiness);
    this.#subscription.add(interval(TICK_MS).subscribe(() => this.#tick()));
    this.#tick();
    this.#log.info({ zone: this.#settings.zone }, 'proxy started');
  }

  /** Calls itself unready at once, serves those who still come for a while, and ends what runs. */
  async stop(): Promise<void> {
    const { graceMs, leaveMs } = this.#settings;
    this.#log.info({ running: this.#forwarder.size, ...this.counters() }, 'proxy draining');
    this.#dispatcher.startDraining();
    this.#forwarder.startDraining();
    const leave = Math.min(leaveMs, graceMs / 2);
    await new Promise<void>((done: () => void) => {
      setTimeout(done, leave);
    });
    await this.#forwarder.close(Math.max(100, graceMs - leave - GRACE_MARGIN_MS));
    this.#subscription.unsubscribe();
    this.#readiness.close();
    this.#readiness.closeAllConnections();
    this.#exchange.close();
  }

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

  #tell(defect: HaretrackError): void {
    this.#counters.add(`defects.${defect.code}`);
    this.#log.warn({ defect: defect.code }, defect.message);
  }

  #sayReady(asked: IncomingMessage, answer: ServerResponse): void {
    const isKnown = asked.method === 'GET' && asked.url === this.#settings.readyPath;
    answer
      .writeHead(!isKnown ? 404 : this.#dispatcher.isReady ? 200 : 503, { 'content-length': 0 })
      .end();
  }

  #tick(): void {
    this.#exchange.dial(this.#settings.link);
    this.#forwarder.tick();
    // Until the agent has told what there is, it is asked at each tick: the first ask may have found no line yet.
    const isTold = this.#versions.has('config') && this.#versions.has('fleet');
    if (this.#ticks % (2 * TELL_EVERY) === 0 || (!isTold && this.#ticks % 2 === 0)) this.#ask();
    this.#ticks += 1;
    if (this.#ticks % TELL_EVERY === TELL_EVERY / 2) this.#tellDemand();
    const isReady = this.#dispatcher.isReady;
    if (isReady !== this.#wasReady)
      this.#log.info({ ready: isReady, ...this.counters() }, 'readiness');
    this.#wasReady = isReady;
  }

  #ask(): void {
    this.#leaving.tick(monotonicNow());
    const have: HaveMessage[] = [...this.#leaving.summary()];
    for (const [topic, version] of this.#versions) have.push({ topic, ...version });
    this.#nonce += 1;
    this.#exchange.send(this.#settings.link, {
      kind: 'freshnessRequest',
      nonce: this.#nonce,
      have,
      members: [],
    });
  }

  /** What newly waits for a load is told at once; several at once are told together. */
  #afterWork(): void {
    if (!this.#dispatcher.takeUrgent() || this.#urgent) return;
    this.#urgent = setTimeout(() => this.#tellDemand(), URGENT_MS);
  }

  #tellDemand(): void {
    if (this.#urgent) clearTimeout(this.#urgent);
    this.#urgent = undefined;
    const demand = this.#dispatcher.demand(monotonicNow());
    if (demand.units.length > 0)
      this.#exchange.send(this.#settings.link, { kind: 'demand', body: JSON.stringify(demand) });
  }

  #receive(incoming: Incoming): void {
    const { message } = incoming;
    if (message.kind === 'delta') this.#takeDelta(message);
    if (message.kind === 'leaving') this.#takeLeaving(message.runners);
    if (message.kind !== 'update') return;
    const version = { epoch: message.epoch, count: message.count };
    // Nothing steps back a version.
    if (compareVersions(version, this.#version(message.topic)) <= 0) return;
    const now = monotonicNow();
    if (message.topic === 'config') this.#takeConfig(now, message.body);
    else if (message.topic === 'fleet') {
      const fleet = parseAs(FleetShape, message.body);
      if (fleet) {
        this.#fleet = fleet;
        this.#dispatcher.fleet(now, fleet);
      }
    }
    this.#versions.set(message.topic, version);
    if (message.topic === 'config') this.#exchange.send(incoming.from, { kind: 'ack', ...version });
    this.#forwarder.obey();
  }

  #takeLeaving(runners: readonly string[]): void {
    const now = monotonicNow();
    this.#leaving.add(now, runners);
    this.#dispatcher.leaving(now, runners);
    this.#forwarder.obey();
  }

  #takeDelta(message: Extract<Message, { kind: 'delta' }>): void {
    const { topic, epoch, from, count, body } = message;
    const held = this.#version(topic);
    const delta = parseAs(FleetDeltaShape, body);
    if (topic !== 'fleet' || !delta || !this.#fleet) return;
    // One that does not follow on what is held here is asked for anew.
    if (held.epoch !== epoch || held.count !== from) {
      if (compareVersions({ epoch, count }, held) > 0) this.#ask();
      return;
    }
    this.#fleet = applyFleetDelta(this.#fleet, delta);
    this.#versions.set(topic, { epoch, count });
    this.#dispatcher.fleet(monotonicNow(), this.#fleet);
    this.#forwarder.obey();
  }

  #takeConfig(now: Moment, body: string): void {
    const news = parseAs(ConfigUpdateShape, body);
    const text = news?.routing?.text ?? '';
    if (!news || text === '') return;
    const known = this.#dispatcher.routing;
    if (text === this.#routingText && known) {
      this.#dispatcher.configure(now, known, news.emptied);
      return;
    }
    const { routing, faults } = this.#configDialect.read(text);
    if (!routing) {
      this.#log.warn({ faults: faults.length }, 'a configuration that cannot be read');
      return;
    }
    this.#routingText = text;
    this.#dispatcher.configure(now, routing, news.emptied);
    this.#forwarder.limit();
  }
}

type Moment = ReturnType<typeof monotonicNow>;
