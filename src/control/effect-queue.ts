import type { Message } from '../common/messages.js';
import type { ControlEffect } from './control-effect.js';
import type { CoreLogEvent } from './control-log-event.js';
import type { CommandAnswer, Origin } from './command-answers.js';

/** The effects of a control node's core that are still to be carried out, in the order in which they were decided. */
export class EffectQueue {
  #pending: ControlEffect[] = [];

  add(effect: ControlEffect): void {
    this.#pending.push(effect);
  }

  send(to: string, message: Message): void {
    this.add({ do: 'send', to, message });
  }

  /** A line for the log. */
  log(event: CoreLogEvent): void {
    this.add({ do: 'log', event });
  }

  /** Answers a command where it came from: at this node's own API, or at the node that passed it on. */
  answer(origin: Origin, answer: CommandAnswer): void {
    if (origin.from === '') this.add({ do: 'reply', id: origin.id, ...answer });
    else this.send(origin.from, { kind: 'commandReply', id: origin.id, ...answer });
  }

  /** Takes all that wait. */
  drain(): ControlEffect[] {
    const effects = this.#pending;
    this.#pending = [];
    return effects;
  }
}
