import { VersionConflictError } from '../../common/errors.js';
import { parseAs } from '../../common/json.js';
import { NO_VERSION } from '../../common/version.js';
import { ConfigUpdateShape, EditShapes, type ConfigDoc } from '../../control/config-shapes.js';
import { decodeConfigDoc } from '../../control/config-codec.js';
import type { ControlEffect } from '../../control/control-effect.js';
import { acceptedAnswer, errorAnswer, type CommandAnswer } from '../../control/command-answers.js';
import { CONFIG_PARTITION } from '../../state/partition-names.js';
import { InterceptedControl, type Command } from './intercepted-control.js';

/** Mutants of control nodes that answer operators' orders incorrectly. */

const CHANGES: ReadonlySet<string> = new Set(['configure', 'amend']);

interface Change {
  readonly id: string;
  readonly base: number;
}

function changeOf({ verb, body }: Command): Change | undefined {
  return CHANGES.has(verb) ? parseAs(EditShapes.configure, body) : undefined;
}

function refusal(base: number, current: number): CommandAnswer {
  return errorAnswer(new VersionConflictError(`made from ${base}, but ${current} is in force`));
}

function hasId(id: string, edit: { readonly id: string }): boolean {
  return edit.id === id;
}

/** The configuration as this leader has written it, committed or not; undefined on other nodes. */
function writtenDoc(core: InterceptedControl): ConfigDoc | undefined {
  if (!core.isServing) return undefined;
  return decodeConfigDoc(core.state.body(CONFIG_PARTITION));
}

/** The version of the newest configuration that this node knows to be committed. */
function committedVersion(core: InterceptedControl): number {
  const update = parseAs(ConfigUpdateShape, core.relay.latest('config')?.body ?? '');
  return update?.routing?.version ?? 0;
}

/** Refuses orders by the committed configuration that this leader knows, without contacting a majority. */
export class RefusesWithoutMajority extends InterceptedControl {
  protected override answerInstead(command: Command): CommandAnswer | undefined {
    const change = changeOf(command);
    const doc = writtenDoc(this);
    if (!change || !doc || doc.edits.some((edit) => hasId(change.id, edit))) return undefined;
    const current = committedVersion(this);
    return change.base === current ? undefined : refusal(change.base, current);
  }
}

/** Refuses orders by a configuration that is written but not committed. */
export class RefusesByUncommitted extends InterceptedControl {
  protected override answerInstead(command: Command): CommandAnswer | undefined {
    const change = changeOf(command);
    const doc = writtenDoc(this);
    if (!change || !doc || !this.state.isWriting(CONFIG_PARTITION)) return undefined;
    if (doc.edits.some((edit) => hasId(change.id, edit))) return undefined;
    const current = doc.routing?.version ?? 0;
    return change.base === current ? undefined : refusal(change.base, current);
  }
}

/** Checks each copy of an order by its base, as if its identity were unknown. */
export class ForgetsIdentity extends InterceptedControl {
  #copies = 0;

  protected override interceptCommand(command: Command): Command {
    const change = changeOf(command);
    if (!change) return command;
    this.#copies += 1;
    return {
      ...command,
      body: JSON.stringify({
        ...change,
        id: `${change.id.slice(0, 20)}-${this.#copies}-${Math.round(this.now)}`,
      }),
    };
  }
}

/** Treats two different orders as the same if they have the same base version. */
export class IdentifiesByBase extends InterceptedControl {
  protected override interceptCommand(command: Command): Command {
    const change = changeOf(command);
    return change
      ? { ...command, body: JSON.stringify({ ...change, id: `on-${change.base}` }) }
      : command;
  }
}

/** Reports an order to the operator as refused if its outcome is unknown. */
export class RefusesUnclear extends InterceptedControl {
  protected override interceptEffect(effect: ControlEffect): readonly ControlEffect[] {
    if (effect.do !== 'reply' || !effect.body.includes('"unsure-edit"')) return [effect];
    return [{ ...effect, ...refusal(0, 0) }];
  }
}

/** Acknowledges an order on a follower as soon as it has been forwarded. */
export class AcknowledgesForwarded extends InterceptedControl {
  protected override answerInstead(command: Command): CommandAnswer | undefined {
    const change = changeOf(command);
    const { leader } = this.elector;
    if (!change || this.isServing || leader === undefined) return undefined;
    if (change.base !== committedVersion(this)) return undefined;
    this.sendMessage(leader, { kind: 'command', id: -1, epoch: 0, leaderTime: 0, ...command });
    return acceptedAnswer(change.id, 0, NO_VERSION);
  }
}

/** Answers reads on a leader from its own state, without contacting a majority. */
export class ReadsWithoutMajority extends InterceptedControl {
  protected override answerInstead({ verb }: Command): CommandAnswer | undefined {
    const body = this.relay.latest('config')?.body;
    return verb === 'read' && this.isServing && body !== undefined
      ? { status: 200, body }
      : undefined;
  }
}

/** Answers reads on any node from the last update that it received. */
export class ReadsAtFollowers extends InterceptedControl {
  protected override answerInstead({ verb }: Command): CommandAnswer | undefined {
    const body = this.relay.latest('config')?.body;
    return verb === 'read' && body !== undefined ? { status: 200, body } : undefined;
  }
}
