import type { Message } from '../common/messages.js';
import type { ControlEffect } from './control-effect.js';
import type { CoreLogEvent } from './control-log-event.js';
import type { CommandAnswer, Origin } from './command-answers.js';

/** The effects that a control node's core has decided on and its host has not yet fetched, in order. */
export class EffectQueue {
  #pending: ControlEffect[] = [];

  /** Appends an effect. */
  add(effect: ControlEffect): void {
    this.#pending.push(effect);
  }

  /** Sends a message to another node. */
  send(to: string, message: Message): void {
    this.add({ do: 'send', to, message });
  }

  /** Writes a log event. */
  log(event: CoreLogEvent): void {
    this.add({ do: 'log', event });
  }

  /** Answers a command where it came from: this node's own API, or the node that forwarded it. */
  answer(origin: Origin, answer: CommandAnswer): void {
    if (origin.from === '') this.add({ do: 'reply', id: origin.id, ...answer });
    else this.send(origin.from, { kind: 'commandReply', id: origin.id, ...answer });
  }

  /** Removes and returns all pending effects. */
  drain(): ControlEffect[] {
    const effects = this.#pending;
    this.#pending = [];
    return effects;
  }
}
