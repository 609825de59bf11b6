import { UNTRACED, type RunTrace } from '../rehearsal/run-trace.js';
import type { Scheduler } from '../rehearsal/scheduler.js';
import type { RandomStreams } from './random-streams.js';
import { Endpoint, type Host, type Payload, type Port } from './endpoint.js';

export type { Host, Port } from './endpoint.js';

/** How a cut shows: packets vanish, connections across it are reset, or new ones are refused at once. */
export type CutStyle = 'silent' | 'reset' | 'refuse';

/** What becomes of an attempt to connect; an attempt that hangs hears nothing. */
export interface ConnectHandler {
  connected(endpoint: Endpoint): void;
  refused(): void;
}

/** Usual delay of one packet. */
const MIN_DELAY_MS = 0.2;
const MAX_DELAY_MS = 4;
/** Held packets arrive so long after a cut has healed, at most. */
const MAX_RELEASE_DELAY_MS = 100;

function linkKey(from: string, to: string): string {
  return `${from} > ${to}`;
}

/**
 * The network of a run: hosts, links with a delay and cuts of their own for each direction, and
 * connections over them. Bytes that a cut holds up arrive after it, unless their sender reset the
 * connection or lost power.
 */
export class SimNetwork {
  readonly #scheduler: Scheduler;
  readonly #streams: RandomStreams;
  /** What the run shows to its outside; hosts add to it what does not go over the network. */
  readonly trace: RunTrace;
  readonly #hosts = new Map<string, Host>();
  readonly #endpoints = new Set<Endpoint>();
  /** How many faults cut a link at present, and how the last of them shows. */
  readonly #cuts = new Map<string, { readonly count: number; readonly style: CutStyle }>();
  readonly #extraDelays = new Map<string, number>();
  readonly #healedAt = new Map<string, number>();
  #connections = 0;
  #packets = 0;

  constructor(scheduler: Scheduler, streams: RandomStreams, trace: RunTrace = UNTRACED) {
    this.#scheduler = scheduler;
    this.#streams = streams;
    this.trace = trace;
  }

  get scheduler(): Scheduler {
    return this.#scheduler;
  }

  get packets(): number {
    return this.#packets;
  }

  addHost(host: Host): void {
    this.#hosts.set(host.id, host);
  }

  isCut(from: string, to: string): boolean {
    return this.#cuts.has(linkKey(from, to));
  }

  /** True time at which the link in this direction was healed last. */
  healedAt(from: string, to: string): number {
    return this.#healedAt.get(linkKey(from, to)) ?? -Infinity;
  }

  /** Whether a packet sent from one host would reach a live machine now. */
  isOpen(from: string, to: string): boolean {
    return !this.isCut(from, to) && this.#hosts.get(to)?.isPowered === true;
  }

  /** Cuts one direction of a link; cuts of several faults add up. */
  cut(from: string, to: string, style: CutStyle): void {
    const key = linkKey(from, to);
    this.#cuts.set(key, { count: (this.#cuts.get(key)?.count ?? 0) + 1, style });
    if (style === 'silent') return;
    for (const endpoint of [...this.#endpoints]) {
      if (endpoint.isBetween(from, to)) endpoint.abort();
    }
  }

  heal(from: string, to: string): void {
    const key = linkKey(from, to);
    const cut = this.#cuts.get(key);
    if (!cut) return;
    if (cut.count > 1) {
      this.#cuts.set(key, { count: cut.count - 1, style: cut.style });
      return;
    }
    this.#cuts.delete(key);
    this.#healedAt.set(key, this.#scheduler.now);
    this.#release(from, to);
  }

  /** Slows one direction of a link by so much more; 0 takes that back. */
  slow(from: string, to: string, millis: number): void {
    if (millis > 0) this.#extraDelays.set(linkKey(from, to), millis);
    else this.#extraDelays.delete(linkKey(from, to));
  }

  delay(from: string, to: string): number {
    const extra = this.#extraDelays.get(linkKey(from, to)) ?? 0;
    const random = this.#streams.of(`link ${linkKey(from, to)}`);
    // A slow link is unsteady as well.
    return random.between(MIN_DELAY_MS, MAX_DELAY_MS) + extra * random.between(0.5, 1);
  }

  connect(from: Host, to: string, port: Port, handler: ConnectHandler): void {
    const arrive = () => this.#arrive(from, to, port, handler);
    this.#scheduler.after(this.delay(from.id, to), arrive);
  }

  countPacket(): void {
    this.#packets += 1;
  }

  traceWrite(from: string, to: string, payload: Payload): void {
    const { now } = this.#scheduler;
    if (typeof payload === 'string') this.trace.text(now, from, to, payload);
    else this.trace.message(now, from, to, payload);
  }

  forget(endpoint: Endpoint): void {
    this.#endpoints.delete(endpoint);
  }

  /** The process of a host ended: its kernel closes what it had open. */
  processEnded(host: string): void {
    for (const endpoint of [...this.#endpoints]) {
      if (endpoint.host.id === host) endpoint.close();
    }
  }

  /** A host lost power: it says nothing any more, and what it had not sent is lost. */
  powerLost(host: string): void {
    for (const endpoint of [...this.#endpoints]) {
      if (endpoint.host.id === host) endpoint.losePower();
    }
  }

  powerReturned(host: string): void {
    for (const other of this.#hosts.keys()) this.#release(other, host);
  }

  /** Resets a share of the connections of a host; both ends hear of it. */
  resetConnections(host: string, share: number): void {
    const random = this.#streams.of('resets');
    for (const endpoint of [...this.#endpoints]) {
      if (endpoint.host.id === host && random.isLikely(share)) endpoint.abort();
    }
  }

  #release(from: string, to: string): void {
    const random = this.#streams.of('releases');
    for (const endpoint of this.#endpoints) {
      if (!endpoint.isFromTo(from, to) || !endpoint.isHeldUp) continue;
      this.#scheduler.after(random.between(0, MAX_RELEASE_DELAY_MS), () => endpoint.pump());
    }
  }

  #arrive(from: Host, to: string, port: Port, handler: ConnectHandler): void {
    const target = this.#hosts.get(to);
    const returnDelay = this.delay(to, from.id);
    const cut = this.#cuts.get(linkKey(from.id, to));
    const isRefused = cut?.style === 'refuse' || (!cut && target?.isPowered && !target.isListening);
    if (isRefused) {
      if (!this.isCut(to, from.id)) this.#scheduler.after(returnDelay, () => handler.refused());
      return;
    }
    if (cut || !target?.isPowered || this.isCut(to, from.id)) return;
    this.#connections += 1;
    const stream = `connection ${this.#connections}`;
    const near = new Endpoint(this, from, stream);
    const far = new Endpoint(this, target, stream);
    near.connectTo(far);
    this.#endpoints.add(near);
    this.#endpoints.add(far);
    // A frozen process has a kernel that accepts for it; it hears of the connection at the thaw.
    target.process.submit(stream, () => target.accept(far, port));
    this.#scheduler.after(returnDelay, () => handler.connected(near));
  }
}
