/** The frame that every program around a control node's core shares. */

import { interval, Subscription } from 'rxjs';
import { monotonicNow } from '../common/clock.js';
import { SerialQueue } from '../common/serial-queue.js';
import type { Exchange, Incoming } from '../dissemination/exchange.js';
import type { ControlEffect } from './control-effect.js';
import type { ControlCore } from './control-core.js';

export const DISK_RETRY_MS = 500;
/** How long a planned stop waits for orders whose outcome is open. */
export const RETIRE_TIMEOUT_MS = 1000;

/** What the runtime uses of an exchange; one that counts what passes has the same members. */
export type ControlExchange = Pick<
  Exchange,
  'incoming$' | 'disconnected$' | 'open' | 'close' | 'dial' | 'send'
>;

/** One input of the core, run in its turn. */
export type CoreCommand = (core: ControlCore) => void;

export type StoreEffect = Extract<ControlEffect, { do: 'store' }>;
export type OrderEffect = Extract<ControlEffect, { do: 'order' }>;
/** What the runtime leaves to its program: calls to the outside, and notes. */
export type OutsideEffect = Exclude<ControlEffect, { do: 'send' | 'store' | 'reply' }>;

/** What the core replied to a command. */
export interface CommandReply {
  readonly status: number;
  readonly body: string;
}

/** What differs between programs. */
export interface ControlRuntimePorts {
  readonly tickMs: number;
  /** Whether a planned stop gives open orders their time anew while the seat is handed over, which bounds itself. */
  readonly waitsForHandover: boolean;
  /** The nodes to keep a connection to. */
  peers(core: ControlCore): readonly string[];
  /** Looks at a message as it arrives, and returns the command that hands it to the core. */
  onMessage(incoming: Incoming): CoreCommand;
  /** Stores a part; fails where it could not be synced. */
  write(effect: StoreEffect): Promise<void>;
  perform(effect: OutsideEffect, core: ControlCore): void;
  /** What a command threw; where this throws in turn, its effects are not carried out. */
  onCommandFailed(thrown: unknown): void;
}

/** Hands a message on with the zone of the control node that sent it. */
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

  /** Nothing until it was opened. */
  get core(): ControlCore | undefined {
    return this.#core;
  }

  /** From here on the core takes commands, and messages once the exchange listens. */
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

  startTicks(): void {
    this.#subscription.add(interval(this.#ports.tickMs).subscribe(() => this.tick()));
  }

  /** A tick out of turn. */
  tick(): void {
    this.submit((core) => this.#tick(core));
  }

  /** Hands over what the core leads, if no order is open; over after a bounded time either way. */
  async retire(): Promise<void> {
    const { tickMs, waitsForHandover } = this.#ports;
    function afterTick(done: () => void): void {
      setTimeout(done, tickMs);
    }
    let end = monotonicNow() + RETIRE_TIMEOUT_MS;
    for (let isRetired = false; !isRetired && monotonicNow() < end;) {
      this.submit((core: ControlCore) => {
        isRetired = core.retire(monotonicNow());
        // The seat's taking over bounds itself; the time for open orders begins after it.
        if (waitsForHandover && core.isHandingOver) end = monotonicNow() + RETIRE_TIMEOUT_MS;
      });
      if (!isRetired) await new Promise<void>(afterTick);
    }
    // What was said last must leave the process before its connections close.
    await new Promise<void>(afterTick);
  }

  close(): void {
    this.#subscription.unsubscribe();
    this.#exchange.close();
  }

  /** Every input is a command of the core's one owner; its effects are carried out before the next. */
  submit(command: CoreCommand): void {
    const core = this.#core;
    if (core) this.#commands.submit(() => this.#run(core, command));
  }

  /** Hands a verb of the core and its JSON body on to it. */
  request(verb: string, body: string): Promise<CommandReply> {
    this.#commandId += 1;
    const id = this.#commandId;
    const replies = this.#pendingReplies;
    const reply = new Promise<CommandReply>((done: (reply: CommandReply) => void) => {
      replies.set(id, done);
    });
    this.submit((core: ControlCore) => {
      core.onCommand(monotonicNow(), id, verb, body);
    });
    return reply;
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
      // Named by the store. It is tried again for as long as we run: until then nobody hears a yes from us.
      setTimeout(() => this.#store(effect), DISK_RETRY_MS).unref();
      return;
    }
    this.submit((core: ControlCore) => {
      core.onPersisted(monotonicNow(), partition, version);
    });
  }
}
