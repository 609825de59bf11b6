import { Exchange, type Incoming } from '../dissemination/exchange.js';
import type { FleetDemand } from '../placement/fleet.js';
import { compareVersions, NO_VERSION, type Version } from '../common/version.js';
import { newIncarnation } from '../common/incarnation.js';
import type { ScaleEdge } from './scale-shape.js';
import { machineNow } from './scale-part.js';

/** Interval of freshness requests and demand reports, ms. */
const REPORT_INTERVAL_MS = 1000;
/** The same until the first configuration and fleet have arrived, ms. */
const STARTUP_INTERVAL_MS = 100;
/** Versions per topic whose time of arrival is kept. */
const MAX_ARRIVALS_PER_TOPIC = 50;

interface Arrival {
  readonly version: Version;
  readonly at: number;
}

/**
 * Sends what a proxy sends to its agent, and records when which update arrived. It serves no requests and keeps no bodies
 * of updates.
 */
export class SyntheticProxy {
  readonly #place: ScaleEdge;
  readonly #exchange: Exchange;
  readonly #arrivals = new Map<string, Arrival[]>();
  #nonce = newIncarnation();
  #timer: NodeJS.Timeout | undefined;
  /** Demand that it reports once a second. */
  demand: FleetDemand['units'] = [];

  constructor(place: ScaleEdge) {
    this.#place = place;
    this.#exchange = new Exchange(
      { id: `flow@${place.link}`, role: 'flow', zone: place.zone, listen: '', reach: {} },
      ignore,
    );
    this.#exchange.incoming$.subscribe((incoming: Incoming) => this.#receive(incoming));
  }

  /** Connects to the agent and starts the periodic reports. */
  start(): void {
    this.#tick();
  }

  /** Stops the reports and closes the connection. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#exchange.close();
  }

  /** Sends a demand report to the agent. */
  sendDemand(units: FleetDemand['units']): void {
    this.#exchange.send(this.#place.feed, {
      kind: 'demand',
      body: JSON.stringify({ flow: `flow@${this.#place.link}`, units }),
    });
  }

  /** Returns when it first had that version or a newer one, by the machine's shared clock, ms; undefined if it has neither. */
  reachedAt(topic: string, version: Version): number | undefined {
    for (const arrival of this.#arrivals.get(topic) ?? [])
      if (compareVersions(arrival.version, version) >= 0) return arrival.at;
    return undefined;
  }

  #version(topic: string): Version {
    return this.#arrivals.get(topic)?.at(-1)?.version ?? NO_VERSION;
  }

  #tick(): void {
    this.#exchange.dial(this.#place.feed);
    this.#requestUpdates();
    if (this.demand.length > 0) this.sendDemand(this.demand);
    this.#timer = setTimeout(
      () => this.#tick(),
      this.#arrivals.has('config') && this.#arrivals.has('fleet')
        ? REPORT_INTERVAL_MS
        : STARTUP_INTERVAL_MS,
    );
  }

  #requestUpdates(): void {
    const have = [];
    for (const topic of this.#arrivals.keys()) have.push({ topic, ...this.#version(topic) });
    this.#nonce += 1;
    this.#exchange.send(this.#place.feed, {
      kind: 'freshnessRequest',
      nonce: this.#nonce,
      have,
      members: [],
    });
  }

  #receive(incoming: Incoming): void {
    const { message } = incoming;
    if (message.kind !== 'update' && message.kind !== 'delta') return;
    const version = { epoch: message.epoch, count: message.count };
    const current = this.#version(message.topic);
    if (compareVersions(version, current) <= 0) return;
    // On a delta that does not apply to the current version it requests updates again, as a real proxy does.
    if (
      message.kind === 'delta' &&
      (current.epoch !== message.epoch || current.count !== message.from)
    ) {
      this.#requestUpdates();
      return;
    }
    this.#arrivals.set(message.topic, [
      ...(this.#arrivals.get(message.topic) ?? []).slice(1 - MAX_ARRIVALS_PER_TOPIC),
      { version, at: machineNow() },
    ]);
    if (message.topic === 'config') this.#exchange.send(incoming.from, { kind: 'ack', ...version });
  }
}

function ignore(): void {
  /* connection errors need no report: the run checks what arrives */
}
