import type { Moment, PartitionName } from '../../common/ids.js';
import type { Message } from '../../common/messages.js';
import type { Version } from '../../common/version.js';
import { ControlCore } from '../../control/control-core.js';
import type { ControlEffect } from '../../control/control-effect.js';
import type { CommandAnswer } from '../../control/command-answers.js';
import type { ControlInputs } from '../core-build.js';

/** A message as the core is to hear it. */
export interface Heard {
  readonly from: string;
  readonly message: Message;
}

/** A command as the core is to take it. */
export interface Command {
  readonly verb: string;
  readonly body: string;
}

/**
 * A control core whose inputs and effects pass through hooks, for mutants: the core itself is the real one, and what is
 * wrong is done to what it hears, says, writes and answers. A hook may also make the core hear what nobody said.
 */
export class InterceptedControl extends ControlCore {
  #now: Moment;
  #own: ControlEffect[] = [];

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
    for (const heard of this.hear(from, message)) {
      if (heard.message.kind !== 'command') {
        super.onMessage(now, heard.from, heard.message, zone);
        continue;
      }
      const { id } = heard.message;
      const command = this.take(heard.message);
      const answer = this.answerOf(command);
      if (answer) this.say(heard.from, { kind: 'commandReply', id, ...answer });
      else super.onMessage(now, heard.from, { ...heard.message, ...command }, zone);
    }
  }

  override onCommand(now: Moment, id: number, verb: string, body: string): void {
    this.#now = now;
    const command = this.take({ verb, body });
    const answer = this.answerOf(command);
    if (answer) this.#own.push({ do: 'reply', id, ...answer });
    else super.onCommand(now, id, command.verb, command.body);
  }

  override onPersisted(now: Moment, partition: PartitionName, version: Version): void {
    this.#now = now;
    super.onPersisted(now, partition, version);
  }

  override drain(): ControlEffect[] {
    const carriedOut: ControlEffect[] = [];
    for (let effects = this.#taken(); effects.length > 0; effects = this.#taken()) {
      for (const effect of effects) carriedOut.push(...this.carryOut(effect));
    }
    return carriedOut;
  }

  #taken(): ControlEffect[] {
    const own = this.#own;
    this.#own = [];
    return [...super.drain(), ...own];
  }

  /** The moment of the input that is being worked on. */
  protected get now(): Moment {
    return this.#now;
  }

  /** What the core hears in place of a message. */
  protected hear(from: string, message: Message): readonly Heard[] {
    return [{ from, message }];
  }

  /** What the core takes in place of an operator's command, its own or one passed on. */
  protected take({ verb, body }: Command): Command {
    return { verb, body };
  }

  /** An answer given in place of the core's. */
  protected answerOf(_command: Command): CommandAnswer | undefined {
    return undefined;
  }

  /** What is done in place of an effect. */
  protected carryOut(effect: ControlEffect): readonly ControlEffect[] {
    return [effect];
  }

  /** Makes the core hear what nobody said. */
  protected pretend(from: string, message: Message): void {
    super.onMessage(this.#now, from, message);
  }

  /** Tells the core at once that a write is on disk. */
  protected pretendStored(partition: PartitionName, version: Version): void {
    super.onPersisted(this.#now, partition, version);
  }

  protected say(to: string, message: Message): void {
    this.#own.push({ do: 'send', to, message });
  }
}
