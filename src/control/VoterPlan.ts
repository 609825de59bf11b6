import type { Moment, PartName } from '../common/Ids.js';

/** A control node that announced itself lately and is heard of as no voter, or as one without a leader. */
export interface Announced {
  readonly id: string;
  readonly zone: string;
  readonly isFirst: boolean;
  readonly isSound: boolean;
  readonly at: Moment;
}

export type VoterChange =
  | { readonly do: 'nothing' }
  /** All parts are to be written anew, by a majority of both sets. */
  | { readonly do: 'rewrite' }
  | { readonly do: 'voters'; readonly voters: readonly (readonly string[])[] };

const SILENT_MS = 2000;
const NOTHING: VoterChange = { do: 'nothing' };

export function isVotersWriting(
  voters: readonly unknown[],
  parts: readonly PartName[],
  held: { isWriting(part: PartName): boolean },
): boolean {
  return voters.length === 2 && parts.some(held.isWriting, held);
}

/** Which voters there should be: all nodes of the first start, and whoever comes in the place of one that fell silent. */
export class VoterPlan {
  #rewritten = '';

  /** A new leader knows nothing of how far the former one came with a change, and does it again. */
  begin(): void {
    this.#rewritten = '';
  }

  next(
    now: Moment,
    voters: readonly (readonly string[])[],
    announced: Iterable<Announced>,
    me: string,
    heardAt: (voter: string) => Moment | undefined,
  ): VoterChange {
    const [current, following] = voters;
    if (!current) return NOTHING;
    if (following) {
      const change = voters.join(' | ');
      if (this.#rewritten === change) return { do: 'voters', voters: [following] };
      this.#rewritten = change;
      return { do: 'rewrite' };
    }
    for (const node of announced) {
      // One that must still be repaired can hold nothing for us.
      if (!node.isSound || current.includes(node.id)) continue;
      const silent = current.find(isSilent);
      if (silent !== undefined)
        return {
          do: 'voters',
          voters: [[...current], current.map(exchange.bind(undefined, silent, node.id))],
        };
      // An even number bears no more losses than the odd one below it, so that it is filled up whoever comes.
      if (node.isFirst || current.length % 2 === 0)
        return { do: 'voters', voters: [[...current], [...current, node.id]] };
    }
    return NOTHING;

    function isSilent(voter: string): boolean {
      const at = heardAt(voter);
      return voter !== me && at !== undefined && now - at > SILENT_MS;
    }
  }
}

function exchange(old: string, id: string, voter: string): string {
  return voter === old ? id : voter;
}
