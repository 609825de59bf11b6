import type { Message } from '../common/messages.js';
import type { ControlEffect } from './control-effect.js';
import type { CoreLogEvent } from './control-log-event.js';
import type { CommandAnswer, Origin } from './command-answers.js';

/** The effects that the core of a control node requested and its host has not fetched yet, in order. */
export class EffectQueue {
  #pending: ControlEffect[] = [];

  /** Appends an effect. */
  add(effect: ControlEffect): void {
    this.#pending.push(effect);
  }

  /** Appends a `send` effect: a message to another node. */
  send(to: string, message: Message): void {
    this.add({ do: 'send', to, message });
  }

  /** Appends a `log` effect. */
  log(event: CoreLogEvent): void {
    this.add({ do: 'log', event });
  }

  /** Answers a command at its origin: this node's own API, or the node that forwarded the command. */
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
