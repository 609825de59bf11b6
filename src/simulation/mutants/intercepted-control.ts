import type { Moment, PartitionName } from '../../common/ids.js';
import type { Message } from '../../common/messages.js';
import type { Version } from '../../common/version.js';
import { ControlCore } from '../../control/control-core.js';
import type { ControlEffect } from '../../control/control-effect.js';
import type { CommandAnswer } from '../../control/command-answers.js';
import type { ControlInputs } from '../core-factory.js';

/** A message that the core receives. */
export interface ReceivedMessage {
  readonly from: string;
  readonly message: Message;
}

/** A command that the core executes. */
export interface Command {
  readonly verb: string;
  readonly body: string;
}

/**
 * A control core whose inputs and effects pass through hooks, for mutants: the core itself is the real one, and the
 * hooks alter what it receives, sends, writes and answers. A hook may also inject messages that no node sent.
 */
export class InterceptedControl extends ControlCore {
  #now: Moment;
  #injectedEffects: ControlEffect[] = [];

  constructor({ settings, stored, now, vote }: ControlInputs) {
    super(settings, stored, now, vote);
    this.#now = now;
  }

  override tick(now: Moment): void {
    this.#now = now;
    super.tick(now);
  }

  override onMessage(now: Moment, from: string, message: Message, zone: string = ''): void {
    this.#now = now;
    for (const received of this.interceptMessage(from, message)) {
      if (received.message.kind !== 'command') {
        super.onMessage(now, received.from, received.message, zone);
        continue;
      }
      const { id } = received.message;
      const command = this.interceptCommand(received.message);
      const answer = this.answerInstead(command);
      if (answer) this.sendMessage(received.from, { kind: 'commandReply', id, ...answer });
      else super.onMessage(now, received.from, { ...received.message, ...command }, zone);
    }
  }

  override onCommand(now: Moment, id: number, verb: string, body: string): void {
    this.#now = now;
    const command = this.interceptCommand({ verb, body });
    const answer = this.answerInstead(command);
    if (answer) this.#injectedEffects.push({ do: 'reply', id, ...answer });
    else super.onCommand(now, id, command.verb, command.body);
  }

  override onPersisted(now: Moment, partition: PartitionName, version: Version): void {
    this.#now = now;
    super.onPersisted(now, partition, version);
  }

  override drain(): ControlEffect[] {
    const performed: ControlEffect[] = [];
    for (let effects = this.#takeEffects(); effects.length > 0; effects = this.#takeEffects()) {
      for (const effect of effects) performed.push(...this.interceptEffect(effect));
    }
    return performed;
  }

  #takeEffects(): ControlEffect[] {
    const injected = this.#injectedEffects;
    this.#injectedEffects = [];
    return [...super.drain(), ...injected];
  }

  /** The time of the current input. */
  protected get now(): Moment {
    return this.#now;
  }

  /** Returns the messages that the core receives instead of a message. */
  protected interceptMessage(from: string, message: Message): readonly ReceivedMessage[] {
    return [{ from, message }];
  }

  /** Returns the command that the core executes instead of an operator's command, received directly or forwarded. */
  protected interceptCommand({ verb, body }: Command): Command {
    return { verb, body };
  }

  /** Returns an answer to send instead of passing the command to the core; undefined to pass it on. */
  protected answerInstead(_command: Command): CommandAnswer | undefined {
    return undefined;
  }

  /** Returns the effects to perform instead of an effect of the core. */
  protected interceptEffect(effect: ControlEffect): readonly ControlEffect[] {
    return [effect];
  }

  /** Makes the core receive a message that no node sent. */
  protected injectMessage(from: string, message: Message): void {
    super.onMessage(this.#now, from, message);
  }

  /** Reports to the core at once that a write is on disk. */
  protected injectPersisted(partition: PartitionName, version: Version): void {
    super.onPersisted(this.#now, partition, version);
  }

  /** Sends a message as this node. */
  protected sendMessage(to: string, message: Message): void {
    this.#injectedEffects.push({ do: 'send', to, message });
  }
}
