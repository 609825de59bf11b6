import { VersionConflictError } from '../../common/errors.js';
import { parseAs } from '../../common/json.js';
import { NO_VERSION } from '../../common/version.js';
import { ConfigUpdateShape, EditShapes, type ConfigDoc } from '../../control/config-shapes.js';
import { decodeConfigDoc } from '../../control/config-codec.js';
import type { ControlEffect } from '../../control/control-effect.js';
import { acceptedAnswer, errorAnswer, type CommandAnswer } from '../../control/command-answers.js';
import { CONFIG_PARTITION } from '../../state/partition-names.js';
import { InterceptedControl, type Command } from './intercepted-control.js';

/** Control nodes that answer operators' orders wrongly. */

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

/** The configuration as this leader has written it, committed or not; nothing at other nodes. */
function writtenDoc(core: InterceptedControl): ConfigDoc | undefined {
  if (!core.isServing) return undefined;
  return decodeConfigDoc(core.state.body(CONFIG_PARTITION));
}

/** The version of the newest configuration that this node knows to be committed. */
function committedVersion(core: InterceptedControl): number {
  const update = parseAs(ConfigUpdateShape, core.relay.latest('config')?.body ?? '');
  return update?.routing?.version ?? 0;
}

/** Refuses by the committed configuration as this leader knows it, without asking a majority. */
export class RefusesUnproved extends InterceptedControl {
  protected override answerOf(command: Command): CommandAnswer | undefined {
    const change = changeOf(command);
    const doc = writtenDoc(this);
    if (!change || !doc || doc.edits.some((edit) => hasId(change.id, edit))) return undefined;
    const current = committedVersion(this);
    return change.base === current ? undefined : refusal(change.base, current);
  }
}

/** Refuses by what is written but not committed. */
export class RefusesByUncommitted extends InterceptedControl {
  protected override answerOf(command: Command): CommandAnswer | undefined {
    const change = changeOf(command);
    const doc = writtenDoc(this);
    if (!change || !doc || !this.state.isWriting(CONFIG_PARTITION)) return undefined;
    if (doc.edits.some((edit) => hasId(change.id, edit))) return undefined;
    const current = doc.routing?.version ?? 0;
    return change.base === current ? undefined : refusal(change.base, current);
  }
}

/** Judges each copy of an order by its base: its identity is forgotten. */
export class ForgetsIdentity extends InterceptedControl {
  #copies = 0;

  protected override take(command: Command): Command {
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

/** Takes two different orders for the same where they build on one version. */
export class IdentifiesByBase extends InterceptedControl {
  protected override take(command: Command): Command {
    const change = changeOf(command);
    return change
      ? { ...command, body: JSON.stringify({ ...change, id: `on-${change.base}` }) }
      : command;
  }
}

/** Tells the operator that an order was refused where its outcome is not known. */
export class RefusesUnclear extends InterceptedControl {
  protected override carryOut(effect: ControlEffect): readonly ControlEffect[] {
    if (effect.do !== 'reply' || !effect.body.includes('"unsure-edit"')) return [effect];
    return [{ ...effect, ...refusal(0, 0) }];
  }
}

/** A follower acknowledges an order as soon as it has passed it on. */
export class AcknowledgesForwarded extends InterceptedControl {
  protected override answerOf(command: Command): CommandAnswer | undefined {
    const change = changeOf(command);
    const { leader } = this.elector;
    if (!change || this.isServing || leader === undefined) return undefined;
    if (change.base !== committedVersion(this)) return undefined;
    this.say(leader, { kind: 'command', id: -1, epoch: 0, leaderTime: 0, ...command });
    return acceptedAnswer(change.id, 0, NO_VERSION);
  }
}

/** A leader answers reads by what it holds, without asking a majority. */
export class ReadsUnproved extends InterceptedControl {
  protected override answerOf({ verb }: Command): CommandAnswer | undefined {
    const body = this.relay.latest('config')?.body;
    return verb === 'read' && this.isServing && body !== undefined
      ? { status: 200, body }
      : undefined;
  }
}

/** Any node answers reads by what it was told last. */
export class FollowerReads extends InterceptedControl {
  protected override answerOf({ verb }: Command): CommandAnswer | undefined {
    const body = this.relay.latest('config')?.body;
    return verb === 'read' && body !== undefined ? { status: 200, body } : undefined;
  }
}
