import { UNTRACED, type RunTrace } from '../rehearsal/run-trace.js';
import type { Scheduler } from '../rehearsal/scheduler.js';
import type { RandomStreams } from './random-streams.js';
import { Endpoint, type Host, type Payload, type Port } from './endpoint.js';

export type { Host, Port } from './endpoint.js';

/** The effect of a cut: packets are held up silently, connections across it are reset, or new ones are refused as well. */
export type CutStyle = 'silent' | 'reset' | 'refuse';

/** Callbacks of an attempt to connect; if the attempt hangs, neither is called. */
export interface ConnectHandler {
  /** The connection is established. */
  connected(endpoint: Endpoint): void;
  /** The connection was refused. */
  refused(): void;
}

/** Range of the delay of one packet on a link that is not slowed. */
const MIN_DELAY_MS = 0.2;
const MAX_DELAY_MS = 4;
/** Payloads that were held up are released within this time after a cut was healed. */
const MAX_RELEASE_DELAY_MS = 100;

function linkKey(from: string, to: string): string {
  return `${from} > ${to}`;
}

/**
 * The network of a run: hosts, links with separate delays and cuts for each direction, and connections over them.
 * Payloads that a cut holds up arrive after it, unless the connection was reset or their sender lost power.
 */
export class SimNetwork {
  readonly #scheduler: Scheduler;
  readonly #streams: RandomStreams;
  /** The trace of the run; hosts record in it what is not sent over the network. */
  readonly trace: RunTrace;
  readonly #hosts = new Map<string, Host>();
  readonly #endpoints = new Set<Endpoint>();
  /** Number of faults that cut a link now, and the style of the last of them. */
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

  /** The run's virtual time. */
  get scheduler(): Scheduler {
    return this.#scheduler;
  }

  /** Number of writes to connections. */
  get packets(): number {
    return this.#packets;
  }

  /** Attaches a host. */
  addHost(host: Host): void {
    this.#hosts.set(host.id, host);
  }

  /** Whether a link is cut in this direction. */
  isCut(from: string, to: string): boolean {
    return this.#cuts.has(linkKey(from, to));
  }

  /** True time at which the link in this direction was last healed. */
  healedAt(from: string, to: string): number {
    return this.#healedAt.get(linkKey(from, to)) ?? -Infinity;
  }

  /** Whether a packet sent from one host would reach a powered machine now. */
  isOpen(from: string, to: string): boolean {
    return !this.isCut(from, to) && this.#hosts.get(to)?.isPowered === true;
  }

  /** Cuts one direction of a link; it is healed once each of several cuts has been. */
  cut(from: string, to: string, style: CutStyle): void {
    const key = linkKey(from, to);
    this.#cuts.set(key, { count: (this.#cuts.get(key)?.count ?? 0) + 1, style });
    if (style === 'silent') return;
    for (const endpoint of [...this.#endpoints]) {
      if (endpoint.isBetween(from, to)) endpoint.abort();
    }
  }

  /** Ends one cut of a direction; after the last one, payloads that were held up are released. */
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

  /** Adds up to `millis` to the delay of one direction of a link; 0 ends that. */
  slow(from: string, to: string, millis: number): void {
    if (millis > 0) this.#extraDelays.set(linkKey(from, to), millis);
    else this.#extraDelays.delete(linkKey(from, to));
  }

  /** Draws the delay of one packet, in milliseconds. */
  delay(from: string, to: string): number {
    const extra = this.#extraDelays.get(linkKey(from, to)) ?? 0;
    const random = this.#streams.of(`link ${linkKey(from, to)}`);
    // The extra delay of a slow link varies.
    return random.between(MIN_DELAY_MS, MAX_DELAY_MS) + extra * random.between(0.5, 1);
  }

  /** Opens a connection from a host to a port. */
  connect(from: Host, to: string, port: Port, handler: ConnectHandler): void {
    const arrive = () => this.#arrive(from, to, port, handler);
    this.#scheduler.after(this.delay(from.id, to), arrive);
  }

  /** Counts a write to a connection. */
  countPacket(): void {
    this.#packets += 1;
  }

  /** Records a write in the trace. */
  traceWrite(from: string, to: string, payload: Payload): void {
    const { now } = this.#scheduler;
    if (typeof payload === 'string') this.trace.text(now, from, to, payload);
    else this.trace.message(now, from, to, payload);
  }

  /** Removes an endpoint that has closed. */
  forget(endpoint: Endpoint): void {
    this.#endpoints.delete(endpoint);
  }

  /** The process of a host ended: its kernel closes its connections. */
  processEnded(host: string): void {
    for (const endpoint of [...this.#endpoints]) {
      if (endpoint.host.id === host) endpoint.close();
    }
  }

  /** A host lost power: it sends nothing any more, and its unsent payloads are lost. */
  powerLost(host: string): void {
    for (const endpoint of [...this.#endpoints]) {
      if (endpoint.host.id === host) endpoint.losePower();
    }
  }

  /** A host has power again: payloads that were held up for it are released. */
  powerReturned(host: string): void {
    for (const other of this.#hosts.keys()) this.#release(other, host);
  }

  /** Resets a share of the connections of a host; both ends are notified. */
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
    // The kernel accepts a connection for a frozen process, which is notified at the thaw.
    target.process.submit(stream, () => target.accept(far, port));
    this.#scheduler.after(returnDelay, () => handler.connected(near));
  }
}
