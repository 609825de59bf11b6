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

/** What the edits of operators need of the control node that leads. */
export interface EditHost {
  /** The configuration document as last written by this leader, committed or not. */
  newest(): ConfigDoc;
  /** The newest document that this leader knows to be stored at a majority of the voters. */
  committed(): ConfigDoc;
  /** Writes a document; `token` is returned with its commit. */
  write(now: Moment, doc: ConfigDoc, token: number): void;
  /** Requests a quorum read that begins after this call; `onConfirmation` gets the returned id. */
  requestConfirmation(): number;
  answer(origin: Origin, answer: CommandAnswer): void;
  /** Whether each member that might still use an older configuration has acknowledged this one or exceeded the freshness bound. */
  isInForce(now: Moment, commit: Commit): boolean;
}

/** A committed write, and the members that had to acknowledge it. */
export interface Commit {
  readonly version: Version;
  readonly at: Moment;
  readonly members: ReadonlySet<string>;
}

/** An edit, or the recorded outcome of one, that was written and is not acknowledged yet. */
interface WrittenEdit {
  readonly origin: Origin;
  readonly id: string;
  readonly number: number;
  readonly outcome: 'accepted' | 'closed';
  /** Whether it is the edit itself, a retry of it, or a query for its outcome. */
  readonly occasion: 'first' | 'again' | 'question';
  commit: Commit | undefined;
}

/** An edit to be rejected by this node's configuration, once that is confirmed to be the newest. */
interface UnconfirmedRejection {
  readonly origin: Origin;
  readonly verb: string;
  readonly body: string;
  readonly arrivedAt: Moment;
}

/** Timeout of a confirmation; clients retry at another node before it expires. */
const CONFIRMATION_TIMEOUT_MS = 3000;
const NO_MAJORITY = 'no majority was reached; nothing was done';

/**
 * Decides the edits of operators at the leader: each is written and acknowledged once it is committed, or rejected.
 *
 * A rejection needs as much proof as an acknowledgement. This node's configuration may be stale (the node was isolated or
 * suspended while a successor accepted the same edit) or uncommitted (the edit would conflict with one that never takes
 * effect). A rejection is therefore based on a committed configuration, confirmed by a quorum read that began after the edit
 * arrived.
 */
export class OperatorEdits {
  readonly #host: EditHost;
  readonly #dialect: ConfigDialect | undefined;
  readonly #counters: ControlCounters;
  readonly #written = new Map<number, WrittenEdit>();
  /** Rejections by the id of the quorum read that is to confirm them. */
  readonly #unconfirmed = new Map<number, UnconfirmedRejection>();
  /** Edits that conflict with an uncommitted write: decided again after its commit. */
  #awaitingCommit: UnconfirmedRejection[] = [];
  #token = 0;

  constructor(host: EditHost, dialect: ConfigDialect | undefined, counters: ControlCounters) {
    this.#host = host;
    this.#dialect = dialect;
    this.#counters = counters;
  }

  /** Submits an edit, or a query for the outcome of one; the answer goes to `origin`. */
  submit(now: Moment, origin: Origin, verb: string, body: string): void {
    try {
      if (verb === 'edit')
        this.#queryOutcome(now, origin, mustParseAs(EditShapes.edit, body, 'the ask'));
      else this.#applyAndWrite(now, origin, verb, body);
    } catch (thrown) {
      const error = toHaretrackError(thrown);
      // An unknown outcome, and an error that does not depend on this node's state, need no confirmation.
      if (error.response.isOutcomeUnknown || error instanceof MalformedRequestError)
        this.#reject(origin, error);
      else this.#requestConfirmation({ origin, verb, body, arrivedAt: now });
    }
  }

  /** The quorum read with this id completed; `isNewest` tells whether no later leader has written anything. */
  onConfirmation(now: Moment, id: number, isNewest: boolean): void {
    const rejection = this.#unconfirmed.get(id);
    if (!rejection) return;
    this.#unconfirmed.delete(id);
    if (isNewest) this.#decide(now, rejection);
    else
      this.#answerUnclear(
        rejection,
        'leader-lost',
        'another leader has written since; nothing was done',
      );
  }

  /** A write with these tokens was committed; `members` are those that might still use an older configuration. */
  onCommitted(
    now: Moment,
    version: Version,
    tokens: readonly number[],
    members: readonly MemberVersion[],
  ): void {
    const ids = new Set<string>();
    for (const member of members) ids.add(member.id);
    for (const token of tokens) {
      const edit = this.#written.get(token);
      if (edit) edit.commit = { version, at: now, members: ids };
    }
    this.#acknowledge(now);
    const rejections = this.#awaitingCommit;
    this.#awaitingCommit = [];
    for (const { origin, verb, body, arrivedAt } of rejections)
      this.#retry(now, { origin, verb, body, arrivedAt });
  }

  /** Acknowledges edits that have come into force, and answers rejections whose confirmation timed out. */
  tick(now: Moment): void {
    this.#acknowledge(now);
    for (const [id, rejection] of this.#unconfirmed) {
      if (now < later(rejection.arrivedAt, CONFIRMATION_TIMEOUT_MS)) continue;
      this.#unconfirmed.delete(id);
      this.#answerUnclear(rejection, 'no-majority', NO_MAJORITY);
    }
  }

  /** This node no longer leads: whether its writes were committed is unknown to it, and decided by the next leader. */
  abandon(): void {
    for (const edit of this.#written.values()) {
      this.#counters.countUnclear('leader-lost');
      this.#host.answer(edit.origin, leaderLostAnswer(edit.id));
    }
    this.#written.clear();
    for (const rejection of [...this.#unconfirmed.values(), ...this.#awaitingCommit])
      this.#answerUnclear(rejection, 'leader-lost', NO_MAJORITY);
    this.#unconfirmed.clear();
    this.#awaitingCommit = [];
  }

  #answerUnclear(rejection: UnconfirmedRejection, reason: UnclearReason, text: string): void {
    this.#counters.countUnclear(reason);
    this.#host.answer(rejection.origin, errorAnswer(new NoLeaderError(text)));
  }

  /** Answers with a definite error: a rejection, or that the record of the outcome was discarded. */
  #reject(origin: Origin, error: HaretrackError): void {
    if (error.response.isOutcomeUnknown) this.#counters.countUnclear('forgotten');
    else this.#counters.countRefused(refusalReason(error.code));
    this.#host.answer(origin, errorAnswer(error));
  }

  #requestConfirmation(rejection: UnconfirmedRejection): void {
    this.#unconfirmed.set(this.#host.requestConfirmation(), rejection);
  }

  #retry(now: Moment, rejection: UnconfirmedRejection): void {
    if (now >= later(rejection.arrivedAt, CONFIRMATION_TIMEOUT_MS))
      this.#answerUnclear(rejection, 'no-majority', NO_MAJORITY);
    else this.#requestConfirmation(rejection);
  }

  /** Decides an edit again after the committed configuration was confirmed to be the newest. */
  #decide(now: Moment, rejection: UnconfirmedRejection): void {
    const { origin, verb, body } = rejection;
    try {
      this.#applyAndWrite(now, origin, verb, body);
    } catch (thrown) {
      const error = toHaretrackError(thrown);
      // An edit that conflicts with an uncommitted write may be rejected only after the commit of that write.
      if (error.response.isOutcomeUnknown || !this.#isAcceptable(verb, body))
        this.#reject(origin, error);
      else this.#awaitingCommit.push(rejection);
    }
  }

  /** Whether the edit could be accepted if the uncommitted writes failed. */
  #isAcceptable(verb: string, body: string): boolean {
    const committed = this.#host.committed();
    if (this.#host.newest() === committed) return false;
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
    const recorded = doc.edits.find((edit) => edit.id === id);
    if (recorded) {
      // A retry has the id of the edit and gets its outcome; the edit is not applied again.
      if (recorded.outcome === 'closed')
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

  /** Applies an edit. One whose base conflicts may be the retry of an edit that was accepted long ago. */
  #apply(
    doc: ConfigDoc,
    verb: string,
    body: string,
  ): { readonly id: string; readonly doc: ConfigDoc } {
    try {
      return verb === 'swap' ? replaceVoter(doc, body) : applyEdit(doc, verb, body, this.#dialect);
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
    const recorded = doc.edits.find((edit) => edit.id === id);
    if (!recorded && mayBeForgotten(doc, base))
      throw new OutcomeUnknownError(
        `edit ${id} is not among the last ${MAX_EDITS}: whether it was accepted before is no longer known`,
      );
    // The answer must remain true under later leaders, so it is committed like an edit before it is sent.
    const occasion = 'question';
    if (recorded) this.#write(now, { origin, id, outcome: recorded.outcome, occasion }, doc);
    else
      this.#write(now, { origin, id, outcome: 'closed', occasion }, recordEdit(doc, id, 'closed'));
  }

  #write(now: Moment, edit: Omit<WrittenEdit, 'number' | 'commit'>, doc: ConfigDoc): void {
    this.#token += 1;
    this.#written.set(this.#token, { ...edit, number: doc.number, commit: undefined });
    this.#host.write(now, doc, this.#token);
  }

  #acknowledge(now: Moment): void {
    for (const [token, edit] of this.#written) {
      const { commit } = edit;
      if (!commit || !this.#host.isInForce(now, commit)) continue;
      this.#written.delete(token);
      if (edit.occasion === 'first') this.#counters.countAccepted();
      else if (edit.occasion === 'again') this.#counters.countAcknowledgedAgain();
      this.#host.answer(
        edit.origin,
        edit.outcome === 'accepted'
          ? acceptedAnswer(edit.id, edit.number, commit.version)
          : closedAnswer(edit.id),
      );
    }
  }
}

/** Replaces one voter, by a joint configuration that lasts until the new set stores the complete state. */
function replaceVoter(
  doc: ConfigDoc,
  body: string,
): { readonly id: string; readonly doc: ConfigDoc } {
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
