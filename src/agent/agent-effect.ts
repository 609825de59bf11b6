import type { Message } from '../common/messages.js';

/** How an agent works. */
export interface AgentSettings {
  /** Its node id, the address at which control nodes and other agents reach it. */
  readonly me: string;
  readonly zone: string;
  /** Ids of the control nodes that it starts with. */
  readonly seeds: readonly string[];
  /** How long a proxy may work after its configuration was last confirmed, in milliseconds. */
  readonly freshnessBoundMs: number;
  /** Where the numbers of its requests start; another for each start of the process. */
  readonly incarnation: number;
  /**
   * Whether it runs in a deployment, whose proxies work without a confirmation: requests are for updates alone, and
   * control nodes of its own zone are preferred.
   */
  readonly isDeployed?: boolean;
}

/** What an agent's core wants done, in order. */
export type AgentEffect =
  /** Send a message to a node, or to a proxy that this agent feeds. */
  | { readonly do: 'send'; readonly to: string; readonly message: Message }
  /** Write a log line. */
  | {
      readonly do: 'log';
      readonly text: string;
      readonly fields: Readonly<Record<string, string | number>>;
    };
