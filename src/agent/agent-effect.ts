import type { Message } from '../common/messages.js';

/** Settings of an agent's core. */
export interface AgentSettings {
  /** Its node id: the address at which control nodes and other agents reach it. */
  readonly me: string;
  readonly zone: string;
  /** Ids of the control nodes that it starts with. */
  readonly seeds: readonly string[];
  /** How long a proxy may use its configuration after the last confirmation, in milliseconds. */
  readonly freshnessBoundMs: number;
  /** The number that its request numbers start from; different for each start of the process. */
  readonly incarnation: number;
  /**
   * Whether it runs in a deployment, where proxies need no confirmation of freshness: it requests updates only, and
   * prefers control nodes of its own zone.
   */
  readonly isDeployed?: boolean;
}

/** An action that the core of an agent asks its owner to carry out, in the order given. */
export type AgentEffect =
  /** Send a message to a node, or to a proxy that gets its updates from this agent. */
  | { readonly do: 'send'; readonly to: string; readonly message: Message }
  /** Write a log line. */
  | {
      readonly do: 'log';
      readonly text: string;
      readonly fields: Readonly<Record<string, string | number>>;
    };
