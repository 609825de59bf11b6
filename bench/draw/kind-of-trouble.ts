/** What the table of kinds says of each kind of trouble. */
import type { Part, TroubleFields } from './day.js';
import type { Random } from './random.js';
import type { Site } from './site.js';

/** What a kind of trouble mostly strikes. */
export type Target = 'control' | 'proxies' | 'runners' | 'traffic';

/** One kind of trouble. */
export interface KindOfTrouble {
  readonly target: Target;
  readonly part: Part;
  /** How often it is drawn beside the others of its target. */
  readonly weight: number;
  /** The shape of one trouble of this kind; `strength` goes from 0 to 1. */
  readonly draw: (random: Random, site: Site, strength: number) => TroubleFields;
}

/** Kinds of trouble by the names that day files give them. */
export type KindTable = Readonly<Record<string, KindOfTrouble>>;
