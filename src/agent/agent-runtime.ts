/** Runs an agent's core: the part that all programs with an agent have in common. */

import { interval, merge, Subscription } from 'rxjs';
import { monotonicNow } from '../common/clock.js';
import type { Moment } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import { SerialQueue } from '../common/serial-queue.js';
import type { Exchange, Incoming } from '../dissemination/exchange.js';
import type { AgentCore, AgentEffect } from './agent-core.js';

/** The members of an exchange that the runtime uses, so that a wrapper that counts messages can take its place. */
export type AgentExchange = Pick<
  Exchange,
  'incoming$' | 'disconnected$' | 'open' | 'close' | 'dial' | 'send'
>;

/** An effect that writes a log line. */
export type AgentLogEvent = Extract<AgentEffect, { do: 'log' }>;

/** The functions and settings that differ between programs. */
export interface AgentPorts {
  /** Interval between ticks, in milliseconds. */
  readonly tickMs: number;
  /** Called with each incoming message; the core gets the message that it returns. */
  inspect(incoming: Incoming): Message;
  /** Writes a log line. */
  log(event: AgentLogEvent): void;
  /** Called after each tick of the core. */
  onTicked(now: Moment): void;
}

/** Passes messages and ticks to an agent's core, one at a time, and carries out the effects that it returns. */
export class AgentRuntime {
  readonly #core: AgentCore;
  readonly #nodes: AgentExchange;
  readonly #feed: AgentExchange;
  readonly #ports: AgentPorts;
  readonly #queue = new SerialQueue();
  readonly #subscription = new Subscription();

  /** `nodes` connects to other nodes, `feed` to the proxy next to the agent. */
  constructor(core: AgentCore, nodes: AgentExchange, feed: AgentExchange, ports: AgentPorts) {
    this.#core = core;
    this.#nodes = nodes;
    this.#feed = feed;
    this.#ports = ports;
  }

  /** Subscribes to both exchanges, opens their ports and starts the timer; fails if a port cannot be opened. */
  async start(): Promise<void> {
    this.#subscription.add(
      merge(this.#nodes.incoming$, this.#feed.incoming$).subscribe((incoming: Incoming) =>
        this.#receive(incoming),
      ),
    );
    this.#subscription.add(
      merge(this.#nodes.disconnected$, this.#feed.disconnected$).subscribe((id: string) =>
        this.#onDisconnect(id),
      ),
    );
    await this.#nodes.open();
    await this.#feed.open();
    this.#subscription.add(interval(this.#ports.tickMs).subscribe(() => this.tick()));
  }

  /** Stops the timer and closes both exchanges. */
  stop(): void {
    this.#subscription.unsubscribe();
    this.#nodes.close();
    this.#feed.close();
  }

  /** Runs an additional tick, apart from the timer. */
  tick(): void {
    this.submit(() => this.#tick());
  }

  /** Queues a call of the core; its effects are carried out before the next call. */
  submit(command: () => void): void {
    this.#queue.submit(() => this.#runCommand(command));
  }

  #runCommand(command: () => void): void {
    command();
    for (const effect of this.#core.drain()) {
      if (effect.do === 'log') this.#ports.log(effect);
      else if (effect.to.startsWith('flow@')) this.#feed.send(effect.to, effect.message);
      else this.#nodes.send(effect.to, effect.message);
    }
  }

  #tick(): void {
    this.#nodes.dial(this.#core.controlNode);
    const now = monotonicNow();
    this.#core.tick(now);
    this.#ports.onTicked(now);
  }

  #receive(incoming: Incoming): void {
    const message = this.#ports.inspect(incoming);
    const now = monotonicNow();
    this.submit(() => this.#core.onMessage(now, incoming.from, incoming.role, message));
  }

  #onDisconnect(id: string): void {
    const now = monotonicNow();
    this.submit(() => this.#core.onDisconnect(now, id));
  }
}
