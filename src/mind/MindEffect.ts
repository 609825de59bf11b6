import type { PartName } from '../kin/Ids.js';
import type { Message } from '../kin/Messages.js';
import type { Version } from '../kin/Version.js';
import type { Intent } from '../place/Shapes.js';

/** What a control node's core wants done; the process and the simulator carry it out alike. */
export type MindEffect =
  | { readonly do: 'send'; readonly to: string; readonly message: Message }
  | { readonly do: 'store'; readonly part: PartName; readonly version: Version; readonly body: string }
  | { readonly do: 'askMachines' }
  | { readonly do: 'askCatalog' }
  | { readonly do: 'askReport'; readonly runner: string; readonly address: string }
  /** To be written only if mayOrder() still says so right before the write, and to be cut off before the lease ends. */
  | { readonly do: 'order'; readonly intent: Intent; readonly address: string }
  | { readonly do: 'return'; readonly id: number; readonly status: number; readonly body: string }
  | { readonly do: 'note'; readonly text: string; readonly fields: Readonly<Record<string, string | number>> };

export interface MindSettings {
  readonly me: string;
  readonly zone: string;
  /** A number that no other life of this process has, well apart from others'. */
  readonly life: number;
  readonly seeds: readonly string[];
  /** A member not vouched for within this span turns new work away. */
  readonly blindMs: number;
  /** How long a session may be silent before it counts as lost. */
  readonly silentMs: number;
  /** How long a blank node waits for members that may hold state before it founds. */
  readonly foundMs: number;
  readonly reportMs: number;
  readonly machinesMs: number;
}

export const MIND_DEFAULTS = { blindMs: 2500, silentMs: 1500, foundMs: 1500, reportMs: 400, machinesMs: 500 } as const;
