/** Runs a control node's core: passes it one input at a time and carries out its effects, in programs and in simulations. */

import { interval, Subscription } from 'rxjs';
import { monotonicNow } from '../common/clock.js';
import { SerialQueue } from '../common/serial-queue.js';
import type { Exchange, Incoming } from '../dissemination/exchange.js';
import type { ControlEffect } from './control-effect.js';
import type { ControlCore } from './control-core.js';

/** Delay before a failed write is retried. */
export const DISK_RETRY_MS = 500;
/** How long a planned stop waits for orders without an outcome. */
export const RETIRE_TIMEOUT_MS = 1000;

/** The part of an exchange that the runtime uses; an exchange that counts messages implements it as well. */
export type ControlExchange = Pick<
  Exchange,
  'incoming$' | 'disconnected$' | 'open' | 'close' | 'dial' | 'send'
>;

/** One input of the core. */
export type CoreCommand = (core: ControlCore) => void;

/** A write of a partition to disk. */
export type StoreEffect = Extract<ControlEffect, { do: 'store' }>;
/** An order to a runner. */
export type OrderEffect = Extract<ControlEffect, { do: 'order' }>;
/** Effects that the runtime leaves to its program: calls to the outside, and log lines. */
export type OutsideEffect = Exclude<ControlEffect, { do: 'send' | 'store' | 'reply' }>;

/** What the core replied to a command. */
export interface CommandReply {
  /** HTTP status. */
  readonly status: number;
  /** JSON. */
  readonly body: string;
}

/** The part of a control node that differs between programs. */
export interface ControlRuntimePorts {
  /** Interval between ticks of the core, in milliseconds. */
  readonly tickMs: number;
  /** Whether a planned stop's wait for open orders begins only after the node's handover as a voter. */
  readonly waitsForHandover: boolean;
  /** The nodes to keep a connection to. */
  peers(core: ControlCore): readonly string[];
  /** A message arrived; returns the command that passes it to the core. */
  onMessage(incoming: Incoming): CoreCommand;
  /** Writes a partition to disk; rejects if it could not be synced. */
  write(effect: StoreEffect): Promise<void>;
  /** Carries out an effect. */
  perform(effect: OutsideEffect, core: ControlCore): void;
  /** A command threw; if this throws as well, the command's effects are not carried out. */
  onCommandFailed(thrown: unknown): void;
}

/** Passes a message to the core, with the sender's zone if the sender is a control node. */
export function deliverWithZone(incoming: Incoming, core: ControlCore): void {
  const zone = incoming.role === 'mind' ? incoming.zone : '';
  core.onMessage(monotonicNow(), incoming.from, incoming.message, zone);
}

/** Feeds a control node's core from its exchange, its callers and a timer, one command at a time, and carries out its effects. */
export class ControlRuntime {
  readonly #exchange: ControlExchange;
  readonly #ports: ControlRuntimePorts;
  readonly #commands = new SerialQueue();
  readonly #subscription = new Subscription();
  readonly #pendingReplies = new Map<number, (reply: CommandReply) => void>();
  #core: ControlCore | undefined;
  #commandId = 0;

  constructor(exchange: ControlExchange, ports: ControlRuntimePorts) {
    this.#exchange = exchange;
    this.#ports = ports;
  }

  /** The core; undefined until it is opened. */
  get core(): ControlCore | undefined {
    return this.#core;
  }

  /** Opens the exchange; from this call on the core takes commands, and messages once the exchange listens. */
  async open(core: ControlCore): Promise<void> {
    this.#core = core;
    this.#subscription.add(
      this.#exchange.incoming$.subscribe((incoming: Incoming) => this.#onMessage(incoming)),
    );
    this.#subscription.add(
      this.#exchange.disconnected$.subscribe((id: string) => this.#onDisconnect(id)),
    );
    await this.#exchange.open();
  }

  /** Starts the regular ticks of the core. */
  startTicks(): void {
    this.#subscription.add(interval(this.#ports.tickMs).subscribe(() => this.tick()));
  }

  /** Ticks the core now, in addition to the regular ticks. */
  tick(): void {
    this.submit((core) => this.#tick(core));
  }

  /** Hands over the lease, if no order is open, and the node's role as a voter; resolves within a bounded time either way. */
  async retire(): Promise<void> {
    const { tickMs } = this.#ports;
    const nextTick = () => new Promise<void>((resolve) => setTimeout(resolve, tickMs));
    let deadline = monotonicNow() + RETIRE_TIMEOUT_MS;
    const extendDeadline = () => {
      deadline = monotonicNow() + RETIRE_TIMEOUT_MS;
    };
    while (monotonicNow() < deadline && !this.#retireCore(extendDeadline)) await nextTick();
    // The last messages must leave the process before its connections close.
    await nextTick();
  }

  /** Stops ticks and messages. */
  close(): void {
    this.#subscription.unsubscribe();
    this.#exchange.close();
  }

  /** Runs a command once all earlier ones have run and their effects are carried out; dropped while there is no core. */
  submit(command: CoreCommand): void {
    const core = this.#core;
    if (core) this.#commands.submit(() => this.#run(core, command));
  }

  /** Submits an operator's command, a verb with its JSON body, and resolves with the core's reply. */
  request(verb: string, body: string): Promise<CommandReply> {
    this.#commandId += 1;
    const id = this.#commandId;
    const reply = new Promise<CommandReply>((resolve) => {
      this.#pendingReplies.set(id, resolve);
    });
    this.submit((core: ControlCore) => {
      core.onCommand(monotonicNow(), id, verb, body);
    });
    return reply;
  }

  /** Whether the core may stop. The handover as a voter has a timeout of its own; that of open orders begins after it. */
  #retireCore(onHandingOver: () => void): boolean {
    let isRetired = false;
    this.submit((core) => {
      isRetired = core.retire(monotonicNow());
      if (this.#ports.waitsForHandover && core.isHandingOver) onHandingOver();
    });
    return isRetired;
  }

  #run(core: ControlCore, command: CoreCommand): void {
    try {
      command(core);
    } catch (thrown) {
      this.#ports.onCommandFailed(thrown);
    }
    for (const effect of core.drain()) this.#carryOut(core, effect);
  }

  #tick(core: ControlCore): void {
    for (const peer of this.#ports.peers(core)) this.#exchange.dial(peer);
    core.tick(monotonicNow());
  }

  #onMessage(incoming: Incoming): void {
    this.submit(this.#ports.onMessage(incoming));
  }

  #onDisconnect(id: string): void {
    this.submit((core: ControlCore) => {
      core.onDisconnect(monotonicNow(), id);
    });
  }

  #carryOut(core: ControlCore, effect: ControlEffect): void {
    switch (effect.do) {
      case 'send':
        this.#exchange.send(effect.to, effect.message);
        break;
      case 'store':
        void this.#store(effect);
        break;
      case 'reply':
        this.#pendingReplies.get(effect.id)?.({ status: effect.status, body: effect.body });
        this.#pendingReplies.delete(effect.id);
        break;
      default:
        this.#ports.perform(effect, core);
        break;
    }
  }

  async #store(effect: StoreEffect): Promise<void> {
    const { partition, version } = effect;
    try {
      await this.#ports.write(effect);
    } catch {
      // The store has reported the failure. Nothing that depends on this write is acknowledged until a retry succeeds.
      setTimeout(() => void this.#store(effect), DISK_RETRY_MS).unref();
      return;
    }
    this.submit((core: ControlCore) => {
      core.onPersisted(monotonicNow(), partition, version);
    });
  }
}
