import { nodeId, type Moment, type NodeId } from '../common/ids.js';
import type { Elector } from '../election/elector.js';
import { allParts, CONFIG_PART } from '../state/part-names.js';
import type { ReplicatedState } from '../state/replicated-state.js';
import { encodeConfigDoc } from './config-codec.js';
import { quorumOf } from './config-voters.js';
import type { ConfigDocument } from './config-document.js';
import type { EffectQueue } from './effect-queue.js';
import type { FollowedVoters } from './followed-voters.js';
import type { PartWriter } from './part-writer.js';
import type { VotersChange } from './voter-plan.js';

/** What a change of the voters is written by. */
export interface VoterSetParts {
  readonly elector: Elector;
  readonly parts: ReplicatedState;
  readonly writer: PartWriter;
  readonly document: ConfigDocument;
  readonly voters: FollowedVoters;
  readonly effects: EffectQueue;
}

/** Writes changes of the set of voters, at the leader. */
export class VoterSetWriter {
  readonly #parts: VoterSetParts;

  constructor(parts: VoterSetParts) {
    this.#parts = parts;
  }

  /** Writes another set, or two that decide together. */
  change(now: Moment, change: VotersChange): void {
    const { document, effects, voters } = this.#parts;
    const doc = document.newest();
    effects.note('voters', { from: doc.voters.join(' | '), to: change.voters.join(' | ') });
    const seats = change.seats === undefined ? {} : { seats: change.seats };
    const changed = { ...doc, voters: change.voters.map(copyOf), ...seats };
    // Two sets decide together from here on, also on this very change. One alone is told to those let go as well.
    const joint = change.voters.length === 2 ? quorumOf(encodeConfigDoc(changed)) : undefined;
    if (joint) voters.set(joint);
    document.write(now, changed, 0);
  }

  /** Writes all parts but the configuration anew, so that a majority of each set holds them. */
  rewriteParts(now: Moment): void {
    const { writer, parts } = this.#parts;
    for (const part of allParts())
      if (part !== CONFIG_PART) writer.write(now, part, parts.body(part), 0);
  }

  /** A spare that an operator put in a voter's place is taken in once it holds everything; then the old set is let go. */
  endSwap(now: Moment): void {
    const { document } = this.#parts;
    const doc = document.newest();
    const [, next] = doc.voters;
    if (doc.voters.length !== 2 || !next || document.isWriting) return;
    const holders: ReadonlySet<NodeId> = this.#parts.elector.quorumMembers;
    if (next.map(nodeId).every(holders.has, holders))
      document.write(now, { ...doc, voters: [next] }, 0);
  }
}

function copyOf(set: readonly string[]): string[] {
  return [...set];
}
