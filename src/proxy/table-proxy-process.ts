import { interval, Subscription } from 'rxjs';
import type { Infer } from 'superstruct';
import type { Logger } from 'pino';
import { monotonicNow } from '../common/clock.js';
import { Counters } from '../common/counters.js';
import type { HaretrackError } from '../common/errors.js';
import type { KnownVersion } from '../common/messages.js';
import { newIncarnation } from '../common/incarnation.js';
import { SerialQueue } from '../common/serial-queue.js';
import type { TableProxySettingsShape } from '../common/settings.js';
import { versionText } from '../common/version.js';
import { Exchange, type Incoming } from '../dissemination/exchange.js';
import { Decision } from './decision.js';
import { DECISION_DEFAULTS } from './decision-types.js';
import { Executor } from './executor.js';

const TICK_MS = 25;
const ASK_EVERY = 12;
const DEMAND_EVERY = 40;

/** The proxy's process: the executor at its HTTP port, and the line to the agent beside it. */
export class TableProxyProcess {
  readonly #settings: Infer<typeof TableProxySettingsShape>;
  readonly #log: Logger;
  readonly #counters = new Counters();
  readonly #owner = new SerialQueue();
  readonly #exchange: Exchange;
  readonly #decision: Decision;
  readonly #executor: Executor;
  readonly #subscription = new Subscription();
  #ticks = 0;
  #wasFresh = false;

  constructor(settings: Infer<typeof TableProxySettingsShape>, log: Logger) {
    this.#settings = settings;
    this.#log = log;
    const me = `flow@${settings.listen}`;
    this.#exchange = new Exchange(
      { id: me, role: 'flow', zone: settings.zone, listen: '', reach: {} },
      (defect) => this.#tell(defect),
    );
    this.#decision = new Decision({
      ...DECISION_DEFAULTS,
      blindMs: settings.blindMs,
      me,
      incarnation: newIncarnation(),
    });
    this.#executor = new Executor(
      this.#decision,
      { maxBodyBytes: settings.maxBodyBytes, connectMs: 500, silentMs: settings.silentMs },
      this.#counters,
      monotonicNow,
    );
  }

  async start(): Promise<void> {
    this.#subscription.add(
      this.#exchange.incoming$.subscribe((incoming: Incoming) => this.#receive(incoming)),
    );
    await this.#executor.listen(this.#settings.listen);
    this.#subscription.add(
      interval(TICK_MS).subscribe(() => this.#owner.submit(() => this.#tick())),
    );
    this.#log.info({ zone: this.#settings.zone }, 'flow started');
  }

  async stop(): Promise<void> {
    this.#log.info({ running: this.#decision.running }, 'flow draining');
    await this.#executor.drain(this.#settings.drainMs);
    this.#subscription.unsubscribe();
    this.#exchange.close();
  }

  counters(): object {
    const { running, pending, configVersion, placesVersion, marks } = this.#decision;
    return {
      ...this.#counters.all(),
      running,
      pending,
      config: versionText(configVersion),
      places: versionText(placesVersion),
      machines: marks,
      fresh: this.#wasFresh,
      memory: process.memoryUsage().rss,
    };
  }

  #tell(defect: HaretrackError): void {
    this.#counters.add(`defects.${defect.code}`);
    this.#log.warn({ defect: defect.code }, defect.message);
  }

  #have(): KnownVersion[] {
    return [
      { topic: 'config', ...this.#decision.configVersion },
      { topic: 'places', ...this.#decision.placesVersion },
      { topic: 'machines', epoch: 0, count: this.#decision.marks },
    ];
  }

  #tick(): void {
    const now = monotonicNow();
    this.#exchange.dial(this.#settings.link);
    this.#ticks += 1;
    if (this.#ticks % ASK_EVERY === 0)
      this.#exchange.send(this.#settings.link, {
        kind: 'freshnessRequest',
        nonce: this.#decision.ask(now),
        have: this.#have(),
        members: [],
      });
    if (this.#ticks % DEMAND_EVERY === 0) {
      const demand = this.#decision.takeDemand();
      this.#exchange.send(this.#settings.link, {
        kind: 'demand',
        body: JSON.stringify({ flow: `flow@${this.#settings.listen}`, ...demand }),
      });
    }
    this.#executor.tick(now);
    const isFresh = this.#decision.isFresh(now);
    if (isFresh !== this.#wasFresh) this.#log.info({ fresh: isFresh }, 'freshness');
    this.#wasFresh = isFresh;
  }

  #receive(incoming: Incoming): void {
    this.#owner.submit(() => this.#take(incoming));
  }

  #take(incoming: Incoming): void {
    const now = monotonicNow();
    const { message } = incoming;
    if (message.kind === 'update') {
      this.#decision.news(
        now,
        message.topic,
        { epoch: message.epoch, count: message.count },
        message.body,
      );
      // In force from here on: the next request is asked of the new table.
      if (message.topic === 'config')
        this.#exchange.send(incoming.from, { kind: 'ack', ...this.#decision.configVersion });
    } else if (message.kind === 'freshnessReply') {
      this.#decision.confirmFreshness(message.nonce, message, message.marks);
    }
    this.#executor.settle(now);
  }
}
