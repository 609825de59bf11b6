import { interval, Subscription } from 'rxjs';
import type { Infer } from 'superstruct';
import type { Logger } from 'pino';
import { monotonicNow } from '../common/clock.js';
import { Counters } from '../common/counters.js';
import type { HaretrackError } from '../common/errors.js';
import { processIntakeLimits } from '../common/intake-limits.js';
import { IntakeReport } from '../common/intake-report.js';
import type { KnownVersion } from '../common/messages.js';
import { newIncarnation } from '../common/incarnation.js';
import { SerialQueue } from '../common/serial-queue.js';
import type { TableProxySettingsShape } from '../common/settings.js';
import { versionText } from '../common/version.js';
import { Exchange, type Incoming } from '../dissemination/exchange.js';
import { PolicyRouter } from './policy-router.js';
import { POLICY_ROUTER_DEFAULTS } from './policy-router-types.js';
import { PolicyForwarder } from './policy-forwarder.js';

const TICK_MS = 25;
const FRESHNESS_EVERY_TICKS = 12;
const DEMAND_EVERY_TICKS = 40;

/** A proxy that routes by the operators' table: the forwarder at its HTTP port, and the connection to the local agent. */
export class TableProxyProcess {
  readonly #settings: Infer<typeof TableProxySettingsShape>;
  readonly #log: Logger;
  readonly #counters = new Counters();
  readonly #queue = new SerialQueue();
  readonly #exchange: Exchange;
  readonly #router: PolicyRouter;
  readonly #forwarder: PolicyForwarder;
  readonly #subscription = new Subscription();
  readonly #intakeReport: IntakeReport;
  #ticks = 0;
  #wasFresh = false;

  constructor(settings: Infer<typeof TableProxySettingsShape>, log: Logger) {
    this.#settings = settings;
    this.#log = log;
    this.#intakeReport = new IntakeReport(this.#counters, log);
    const proxyId = `flow@${settings.listen}`;
    this.#exchange = new Exchange(
      { id: proxyId, role: 'flow', zone: settings.zone, listen: '', reach: {} },
      (error) => this.#onExchangeError(error),
    );
    this.#router = new PolicyRouter({
      ...POLICY_ROUTER_DEFAULTS,
      freshnessBoundMs: settings.blindMs,
      proxyId,
      incarnation: newIncarnation(),
    });
    this.#forwarder = new PolicyForwarder(
      this.#router,
      {
        maxBodyBytes: settings.maxBodyBytes,
        connectTimeoutMs: 500,
        idleTimeoutMs: settings.silentMs,
        intake: processIntakeLimits(settings.memoryMb, settings.fileHandles),
      },
      this.#counters,
      monotonicNow,
    );
  }

  /** Starts listening for clients, and connects to the agent. */
  async start(): Promise<void> {
    this.#subscription.add(
      this.#exchange.incoming$.subscribe((incoming: Incoming) => this.#enqueue(incoming)),
    );
    await this.#forwarder.listen(this.#settings.listen);
    this.#subscription.add(
      interval(TICK_MS).subscribe(() => this.#queue.submit(() => this.#tick())),
    );
    this.#intakeReport.start();
    this.#log.info({ zone: this.#settings.zone }, 'proxy started');
  }

  /** Rejects new requests, waits for those in flight for up to the drain time, and closes all connections. */
  async stop(): Promise<void> {
    this.#log.info({ running: this.#router.running }, 'proxy draining');
    await this.#forwarder.stop(this.#settings.drainMs);
    this.#subscription.unsubscribe();
    this.#intakeReport.stop();
    this.#exchange.close();
  }

  /** The counters and versions to report, by name. */
  counters(): object {
    const { running, pending, configVersion, placesVersion, runnerListRevision } = this.#router;
    return {
      ...this.#counters.all(),
      running,
      pending,
      config: versionText(configVersion),
      places: versionText(placesVersion),
      machines: runnerListRevision,
      fresh: this.#wasFresh,
      memory: process.memoryUsage().rss,
    };
  }

  #onExchangeError(error: HaretrackError): void {
    this.#counters.add(`defects.${error.code}`);
    this.#log.warn({ defect: error.code }, error.message);
  }

  #knownVersions(): KnownVersion[] {
    return [
      { topic: 'config', ...this.#router.configVersion },
      { topic: 'places', ...this.#router.placesVersion },
      { topic: 'machines', epoch: 0, count: this.#router.runnerListRevision },
    ];
  }

  #tick(): void {
    const now = monotonicNow();
    this.#exchange.dial(this.#settings.link);
    this.#ticks += 1;
    if (this.#ticks % FRESHNESS_EVERY_TICKS === 0)
      this.#exchange.send(this.#settings.link, {
        kind: 'freshnessRequest',
        nonce: this.#router.startFreshnessRequest(now),
        have: this.#knownVersions(),
        members: [],
      });
    if (this.#ticks % DEMAND_EVERY_TICKS === 0) {
      const demand = this.#router.takeDemand();
      this.#exchange.send(this.#settings.link, {
        kind: 'demand',
        body: JSON.stringify({ flow: `flow@${this.#settings.listen}`, ...demand }),
      });
    }
    this.#forwarder.tick(now);
    const isFresh = this.#router.isFresh(now);
    if (isFresh !== this.#wasFresh) this.#log.info({ fresh: isFresh }, 'freshness');
    this.#wasFresh = isFresh;
  }

  #enqueue(incoming: Incoming): void {
    this.#queue.submit(() => this.#onMessage(incoming));
  }

  #onMessage(incoming: Incoming): void {
    const now = monotonicNow();
    const { message } = incoming;
    if (message.kind === 'update') {
      this.#router.onUpdate(
        now,
        message.topic,
        { epoch: message.epoch, count: message.count },
        message.body,
      );
      // The acknowledgment says that the new table is in force: the next request is routed by it.
      if (message.topic === 'config')
        this.#exchange.send(incoming.from, { kind: 'ack', ...this.#router.configVersion });
    } else if (message.kind === 'freshnessReply') {
      this.#router.onFreshnessConfirmed(message.nonce, message, message.marks);
    }
    this.#forwarder.onUpdate(now);
  }
}
