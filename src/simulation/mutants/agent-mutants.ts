import { AgentCore } from '../../agent/agent-core.js';
import type { Moment } from '../../common/ids.js';
import type { Message } from '../../common/messages.js';
import { isNewer } from '../../common/version.js';

/** Mutants of agents that handle configuration updates incorrectly. */

/** Accepts any received configuration as a newer one. */
export class AcceptsOlderConfig extends AgentCore {
  override onMessage(now: Moment, from: string, role: string, message: Message): void {
    super.onMessage(now, from, role, this.#asNewer(message));
  }

  #asNewer(message: Message): Message {
    if (message.kind !== 'update' || message.topic !== 'config') return message;
    const held = this.relay.version('config');
    if (isNewer(message, held)) return message;
    return { ...message, epoch: held.epoch, count: held.count + 1 };
  }
}
