/** The type of the entries in the table of event kinds. */
import type { DaySection, EventFields } from './day.js';
import type { Random } from './random.js';
import type { Site } from './site.js';

/** The part of the system that a kind of event mainly affects. */
export type Target = 'control' | 'proxies' | 'runners' | 'traffic';

/** How often events of one kind are drawn, and with which parameters. */
export interface EventKind {
  readonly target: Target;
  readonly section: DaySection;
  /** Relative probability among the candidate kinds of the same draw. */
  readonly weight: number;
  /** Draws the parameters of one event of this kind; `intensity` ranges from 0 to 1. */
  readonly draw: (random: Random, site: Site, intensity: number) => EventFields;
}

/** Kinds of event by their names in day files. */
export type EventKindTable = Readonly<Record<string, EventKind>>;
