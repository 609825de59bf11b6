/** The frame that every program around an agent's core shares. */

import { interval, merge, Subscription } from 'rxjs';
import { monotonicNow } from '../common/clock.js';
import type { Moment } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import { SerialQueue } from '../common/serial-queue.js';
import type { Exchange, Incoming } from '../dissemination/exchange.js';
import type { AgentCore, AgentEffect } from './agent-core.js';

/** What the runtime uses of an exchange; one that counts what passes has the same members. */
export type AgentExchange = Pick<
  Exchange,
  'incoming$' | 'disconnected$' | 'open' | 'close' | 'dial' | 'send'
>;

/** An effect that writes a log line. */
export type AgentLogEvent = Extract<AgentEffect, { do: 'log' }>;

/** What differs between programs. */
export interface AgentPorts {
  readonly tickMs: number;
  /** Looks at each message before the core gets it; what it returns is handed on. */
  inspect(incoming: Incoming): Message;
  log(note: AgentLogEvent): void;
  /** Right after each tick of the core. */
  onTicked(now: Moment): void;
}

/** Feeds an agent's core from its two exchanges and a timer, one command at a time, and carries out its effects. */
export class AgentRuntime {
  readonly #core: AgentCore;
  readonly #nodes: AgentExchange;
  readonly #feed: AgentExchange;
  readonly #ports: AgentPorts;
  readonly #owner = new SerialQueue();
  readonly #subscription = new Subscription();

  /** `nodes` leads to other nodes, `feed` to the proxy beside the agent. */
  constructor(core: AgentCore, nodes: AgentExchange, feed: AgentExchange, ports: AgentPorts) {
    this.#core = core;
    this.#nodes = nodes;
    this.#feed = feed;
    this.#ports = ports;
  }

  async start(): Promise<void> {
    this.#subscription.add(
      merge(this.#nodes.incoming$, this.#feed.incoming$).subscribe((incoming: Incoming) =>
        this.#receive(incoming),
      ),
    );
    this.#subscription.add(
      merge(this.#nodes.disconnected$, this.#feed.disconnected$).subscribe((id: string) =>
        this.#gone(id),
      ),
    );
    await this.#nodes.open();
    await this.#feed.open();
    this.#subscription.add(interval(this.#ports.tickMs).subscribe(() => this.tick()));
  }

  stop(): void {
    this.#subscription.unsubscribe();
    this.#nodes.close();
    this.#feed.close();
  }

  /** A tick out of turn. */
  tick(): void {
    this.submit(() => this.#tick());
  }

  /** Runs a command of the core in its turn; its effects are carried out before the next. */
  submit(command: () => void): void {
    this.#owner.submit(() => this.#work(command));
  }

  #work(command: () => void): void {
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

  #gone(id: string): void {
    const now = monotonicNow();
    this.submit(() => this.#core.onDisconnect(now, id));
  }
}
