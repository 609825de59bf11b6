import { Exchange, type Incoming } from '../dissemination/exchange.js';
import type { FleetDemand } from '../placement/fleet.js';
import { compareVersions, NO_VERSION, type Version } from '../common/version.js';
import { newIncarnation } from '../common/incarnation.js';
import type { EdgePlace } from './scale-shape.js';
import { sharedNow } from './scale-part.js';

const TELL_MS = 1000;
const UNTOLD_MS = 100;
const REMEMBERED = 50;

interface Taken {
  readonly version: Version;
  readonly at: number;
}

/** Says what a proxy says to the agent beside it, and notes when which news came; it serves nobody and keeps no bodies. */
export class SyntheticProxy {
  readonly #place: EdgePlace;
  readonly #exchange: Exchange;
  readonly #taken = new Map<string, Taken[]>();
  #nonce = newIncarnation();
  #timer: NodeJS.Timeout | undefined;
  /** What it tells of requests that came, a second. */
  demand: FleetDemand['units'] = [];

  constructor(place: EdgePlace) {
    this.#place = place;
    this.#exchange = new Exchange(
      { id: `flow@${place.link}`, role: 'flow', zone: place.zone, listen: '', reach: {} },
      ignore,
    );
    this.#exchange.incoming$.subscribe((incoming: Incoming) => this.#receive(incoming));
  }

  start(): void {
    this.#tick();
  }

  stop(): void {
    clearTimeout(this.#timer);
    this.#exchange.close();
  }

  tell(units: FleetDemand['units']): void {
    this.#exchange.send(this.#place.feed, {
      kind: 'demand',
      body: JSON.stringify({ flow: `flow@${this.#place.link}`, units }),
    });
  }

  /** When it first had that version or a newer one. */
  reachedAt(topic: string, version: Version): number | undefined {
    for (const taken of this.#taken.get(topic) ?? [])
      if (compareVersions(taken.version, version) >= 0) return taken.at;
    return undefined;
  }

  #version(topic: string): Version {
    return this.#taken.get(topic)?.at(-1)?.version ?? NO_VERSION;
  }

  #tick(): void {
    this.#exchange.dial(this.#place.feed);
    this.#ask();
    if (this.demand.length > 0) this.tell(this.demand);
    this.#timer = setTimeout(
      () => this.#tick(),
      this.#taken.has('config') && this.#taken.has('fleet') ? TELL_MS : UNTOLD_MS,
    );
  }

  #ask(): void {
    const have = [];
    for (const topic of this.#taken.keys()) have.push({ topic, ...this.#version(topic) });
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
    const held = this.#version(message.topic);
    if (compareVersions(version, held) <= 0) return;
    // A change that does not follow on what is held is asked for anew, as a proxy does.
    if (message.kind === 'delta' && (held.epoch !== message.epoch || held.count !== message.from)) {
      this.#ask();
      return;
    }
    this.#taken.set(message.topic, [
      ...(this.#taken.get(message.topic) ?? []).slice(1 - REMEMBERED),
      { version, at: sharedNow() },
    ]);
    if (message.topic === 'config') this.#exchange.send(incoming.from, { kind: 'ack', ...version });
  }
}

function ignore(): void {
  /* the run judges by what arrives */
}
