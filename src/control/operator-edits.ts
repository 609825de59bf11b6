import {
  type HaretrackError,
  MalformedRequestError,
  NoLeaderError,
  OutcomeUnknownError,
  toHaretrackError,
  VersionConflictError,
} from '../common/errors.js';
import { later, type Moment } from '../common/ids.js';
import { mustParseAs, parseAs } from '../common/json.js';
import type { MemberVersion } from '../common/messages.js';
import type { Version } from '../common/version.js';
import type { ConfigDialect } from '../route/routing.js';
import { EditShapes, MAX_EDITS, mayBeForgotten, type ConfigDoc } from './config-shapes.js';
import { refusalReason, type ControlCounters, type UnclearReason } from './control-metrics.js';
import { applyEdit, recordEdit } from './config-edits.js';
import {
  acceptedAnswer,
  closedAnswer,
  errorAnswer,
  leaderLostAnswer,
  type CommandAnswer,
  type Origin,
} from './command-answers.js';

/** What the orders of operators need of the control node that leads. */
export interface EditHost {
  /** The configuration as last written here, committed or not. */
  newest(): ConfigDoc;
  /** The newest configuration that this leader knows to be on a majority of the voters. */
  committed(): ConfigDoc;
  /** Writes a configuration; `token` comes back with its commit. */
  write(now: Moment, doc: ConfigDoc, token: number): void;
  /** Asks for a quorum read that begins after this call; its end is told by `confirmed` with the same id. */
  confirm(): number;
  answer(origin: Origin, answer: CommandAnswer): void;
  /** Whether every member that may still work by an older configuration has acknowledged this one, or has surely gone blind. */
  isInForce(now: Moment, commit: Commit): boolean;
}

/** A write that is on a majority, and the members that had to hear of it. */
export interface Commit {
  readonly version: Version;
  readonly at: Moment;
  readonly members: ReadonlySet<string>;
}

interface WrittenEdit {
  readonly origin: Origin;
  readonly id: string;
  readonly number: number;
  readonly outcome: 'accepted' | 'closed';
  /** Whether it is the order, the order once more, or a question what became of it. */
  readonly occasion: 'first' | 'again' | 'question';
  commit: Commit | undefined;
}

/** An order that looks wrong by what this node holds; nothing is said of it before that is proved to be the newest. */
interface UnconfirmedRefusal {
  readonly origin: Origin;
  readonly verb: string;
  readonly body: string;
  readonly arrivedAt: Moment;
}

/** How long proof is waited for; callers have moved on to another node by then. */
const CONFIRMATION_TIMEOUT_MS = 3000;
const NO_MAJORITY = 'no majority was reached; nothing was done';

/**
 * The orders of operators at the leader: each is written and acknowledged once it is on a majority, or refused.
 *
 * A refusal needs as much proof as an acknowledgement. What this node holds may be stale (cut off, or just thawed, while
 * a successor took the very order) or not committed (a loser would be refused for a winner that never was). A refusal
 * therefore rests on a committed configuration, confirmed by a quorum read that began after the order had come.
 */
export class OperatorEdits {
  readonly #host: EditHost;
  readonly #dialect: ConfigDialect | undefined;
  readonly #counters: ControlCounters;
  readonly #written = new Map<number, WrittenEdit>();
  /** By the id of the quorum read that is to prove them. */
  readonly #unconfirmed = new Map<number, UnconfirmedRefusal>();
  /** Refused by what is written here but not committed: judged again after the commit. */
  #awaitingCommit: UnconfirmedRefusal[] = [];
  #token = 0;

  constructor(host: EditHost, dialect: ConfigDialect | undefined, counters: ControlCounters) {
    this.#host = host;
    this.#dialect = dialect;
    this.#counters = counters;
  }

  submit(now: Moment, origin: Origin, verb: string, body: string): void {
    try {
      if (verb === 'edit')
        this.#queryOutcome(now, origin, mustParseAs(EditShapes.edit, body, 'the ask'));
      else this.#applyAndWrite(now, origin, verb, body);
    } catch (thrown) {
      const error = toHaretrackError(thrown);
      // What is already unsure, or does not depend on what we hold, needs no proof.
      if (error.response.isOutcomeUnknown || error instanceof MalformedRequestError)
        this.#refuse(origin, error);
      else this.#requestConfirmation({ origin, verb, body, arrivedAt: now });
    }
  }

  /** The quorum read with this id ended; `isNewest` says that no later leader has written anything. */
  onConfirmation(now: Moment, id: number, isNewest: boolean): void {
    const refusal = this.#unconfirmed.get(id);
    if (!refusal) return;
    this.#unconfirmed.delete(id);
    if (isNewest) this.#decide(now, refusal);
    else
      this.#answerUnclear(
        refusal,
        'leader-lost',
        'another leader has written since; nothing was done',
      );
  }

  onCommitted(
    now: Moment,
    version: Version,
    tokens: readonly number[],
    members: readonly MemberVersion[],
  ): void {
    const ids = new Set<string>();
    for (const member of members) ids.add(member.id);
    for (const token of tokens) {
      const order = this.#written.get(token);
      if (order) order.commit = { version, at: now, members: ids };
    }
    this.#acknowledge(now);
    const refusals = this.#awaitingCommit;
    this.#awaitingCommit = [];
    for (const { origin, verb, body, arrivedAt } of refusals)
      this.#retry(now, { origin, verb, body, arrivedAt });
  }

  tick(now: Moment): void {
    this.#acknowledge(now);
    for (const [id, refusal] of this.#unconfirmed) {
      if (now < later(refusal.arrivedAt, CONFIRMATION_TIMEOUT_MS)) continue;
      this.#unconfirmed.delete(id);
      this.#answerUnclear(refusal, 'no-majority', NO_MAJORITY);
    }
  }

  /** This node leads no longer: whether its writes hold is for the next leader to find. */
  abandon(): void {
    for (const order of this.#written.values()) {
      this.#counters.countUnclear('leader-lost');
      this.#host.answer(order.origin, leaderLostAnswer(order.id));
    }
    this.#written.clear();
    for (const refusal of [...this.#unconfirmed.values(), ...this.#awaitingCommit])
      this.#answerUnclear(refusal, 'leader-lost', NO_MAJORITY);
    this.#unconfirmed.clear();
    this.#awaitingCommit = [];
  }

  #answerUnclear(refusal: UnconfirmedRefusal, reason: UnclearReason, text: string): void {
    this.#counters.countUnclear(reason);
    this.#host.answer(refusal.origin, errorAnswer(new NoLeaderError(text)));
  }

  /** Answers with an error that stands: a refusal, or that the outcome is no longer known. */
  #refuse(origin: Origin, error: HaretrackError): void {
    if (error.response.isOutcomeUnknown) this.#counters.countUnclear('forgotten');
    else this.#counters.countRefused(refusalReason(error.code));
    this.#host.answer(origin, errorAnswer(error));
  }

  #requestConfirmation(refusal: UnconfirmedRefusal): void {
    this.#unconfirmed.set(this.#host.confirm(), refusal);
  }

  #retry(now: Moment, refusal: UnconfirmedRefusal): void {
    if (now >= later(refusal.arrivedAt, CONFIRMATION_TIMEOUT_MS))
      this.#answerUnclear(refusal, 'no-majority', NO_MAJORITY);
    else this.#requestConfirmation(refusal);
  }

  /** The committed configuration is proved to be the newest: the order is judged anew by it. */
  #decide(now: Moment, refusal: UnconfirmedRefusal): void {
    const { origin, verb, body } = refusal;
    try {
      this.#applyAndWrite(now, origin, verb, body);
    } catch (thrown) {
      const error = toHaretrackError(thrown);
      // By what is written but not committed it may only lose once that holds.
      if (error.response.isOutcomeUnknown || !this.#isAcceptable(verb, body))
        this.#refuse(origin, error);
      else this.#awaitingCommit.push(refusal);
    }
  }

  /** Whether the order could still be taken, by what is committed. */
  #isAcceptable(verb: string, body: string): boolean {
    const { newest, committed } = {
      newest: this.#host.newest(),
      committed: this.#host.committed(),
    };
    if (newest === committed) return false;
    try {
      this.#apply(committed, verb, body);
      return true;
    } catch {
      return false;
    }
  }

  #applyAndWrite(now: Moment, origin: Origin, verb: string, body: string): void {
    const doc = this.#host.newest();
    const { id } = mustParseAs(EditShapes.edit, body, 'the edit');
    const before = doc.edits.find((edit) => hasId(id, edit));
    if (before) {
      // The same id again is the same edit: it is told what became of it, and done once.
      if (before.outcome === 'closed')
        throw new VersionConflictError(`edit ${id} was asked about before it came, and closed`);
      this.#write(now, { origin, id, outcome: 'accepted', occasion: 'again' }, doc);
      return;
    }
    const edited = this.#apply(doc, verb, body);
    this.#write(
      now,
      { origin, id: edited.id, outcome: 'accepted', occasion: 'first' },
      recordEdit(edited.doc, edited.id, 'accepted'),
    );
  }

  /** An edit that loses by its base may be one that was accepted long ago, sent once more. */
  #apply(
    doc: ConfigDoc,
    verb: string,
    body: string,
  ): { readonly id: string; readonly doc: ConfigDoc } {
    try {
      return verb === 'swap' ? swapVoter(doc, body) : applyEdit(doc, verb, body, this.#dialect);
    } catch (thrown) {
      if (!(thrown instanceof VersionConflictError)) throw thrown;
      const edit = parseAs(EditShapes.edit, body);
      const kind = verb === 'configure' || verb === 'amend' ? 'routing' : 'table';
      if (!mayBeForgotten(doc, edit?.base, kind)) throw thrown;
      throw new OutcomeUnknownError(
        `edit ${edit?.id ?? ''} was made from table ${edit?.base ?? 0}, so long ago that whether it was accepted is no longer known`,
      );
    }
  }

  #queryOutcome(
    now: Moment,
    origin: Origin,
    { id, base }: { readonly id: string; readonly base?: number | undefined },
  ): void {
    const doc = this.#host.newest();
    const known = doc.edits.find((edit) => hasId(id, edit));
    if (!known && mayBeForgotten(doc, base))
      throw new OutcomeUnknownError(
        `edit ${id} is not among the last ${MAX_EDITS}: whether it was accepted before is no longer known`,
      );
    // Whether known or not, the word given must outlast us: it is written like an edit before it is told.
    const occasion = 'question';
    if (known) this.#write(now, { origin, id, outcome: known.outcome, occasion }, doc);
    else
      this.#write(now, { origin, id, outcome: 'closed', occasion }, recordEdit(doc, id, 'closed'));
  }

  #write(now: Moment, order: Omit<WrittenEdit, 'number' | 'commit'>, doc: ConfigDoc): void {
    this.#token += 1;
    this.#written.set(this.#token, { ...order, number: doc.number, commit: undefined });
    this.#host.write(now, doc, this.#token);
  }

  #acknowledge(now: Moment): void {
    for (const [token, order] of this.#written) {
      const { commit } = order;
      if (!commit || !this.#host.isInForce(now, commit)) continue;
      this.#written.delete(token);
      if (order.occasion === 'first') this.#counters.countAccepted();
      else if (order.occasion === 'again') this.#counters.countAcknowledgedAgain();
      this.#host.answer(
        order.origin,
        order.outcome === 'accepted'
          ? acceptedAnswer(order.id, order.number, commit.version)
          : closedAnswer(order.id),
      );
    }
  }
}

function hasId(id: string, edit: { readonly id: string }): boolean {
  return edit.id === id;
}

/** The exchange of one voter, as two sets that decide together until the new one holds everything. */
function swapVoter(doc: ConfigDoc, body: string): { readonly id: string; readonly doc: ConfigDoc } {
  const edit = mustParseAs(EditShapes.swap, body, 'the swap');
  const [current] = doc.voters;
  if (!current || doc.voters.length !== 1)
    throw new VersionConflictError('another swap is under way');
  if (!current.includes(edit.old) || current.includes(edit.new))
    throw new MalformedRequestError(`${edit.old} is no voter, or ${edit.new} is one`);
  return {
    id: edit.id,
    doc: {
      ...doc,
      voters: [current, current.map((voter) => (voter === edit.old ? edit.new : voter))],
    },
  };
}
