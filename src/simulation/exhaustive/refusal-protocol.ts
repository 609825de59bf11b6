import { CONFIG_PARTITION } from '../../state/partition-names.js';
import { nodeId, type NodeId } from '../../common/ids.js';
import type { Message } from '../../common/messages.js';
import { Quorum } from '../../common/quorum.js';
import {
  CONTROL_STEP_MS,
  ControlNode,
  parseConfig,
  type ConfigureOrder,
  type ControlCommand,
  type ControlEvent,
  type ControlFacts,
} from './control-node.js';
import { isOfSlot } from './disk.js';
import type { Boot, DiskWrite } from './local-states.js';
import type {
  FaultFreeRun,
  FaultBounds,
  FaultKind,
  StepDetails,
  InvariantCheck,
  NodeCommand,
  Protocol,
  View,
} from './protocol.js';

const NODES = ['a', 'b', 'c'];
/** Clock steps after which three newly started nodes have a leader that serves. */
const FOUNDING_CLOCK_STEPS = 3;
/** Clock steps without contact to the leader after which the other nodes have a leader that serves. */
const TAKEOVER_CLOCK_STEPS = 6;
/** The first leader. */
const FIRST_LEADER = 0;
/** Two orders based on the empty configuration, two based on that of the first order, and one based on that of the third. */
const ORDERS = [
  { id: 'first', base: 0, version: 7 },
  { id: 'rival', base: 0, version: 8 },
  { id: 'next', base: 7, version: 9 },
  { id: 'other', base: 7, version: 10 },
  { id: 'last', base: 9, version: 11 },
] as const;
/** The id of one of the orders. */
export type OrderName = (typeof ORDERS)[number]['id'];

/**
 * The state in which a search begins. `founded`: there is a leader, and no order was sent. `after an order`: the first order
 * is in force everywhere. `former leader frozen`: in addition, the leader that accepted it has been frozen since, and
 * another node leads; the search explores when the former leader is thawed.
 */
export type RefusalBeginning = 'founded' | 'after an order' | 'former leader frozen';

/** Limits of a search of refusals. */
export interface RefusalBounds extends FaultBounds {
  readonly beginning: RefusalBeginning;
  /** Maximum number of calls with orders, not counting the one before the search begins. */
  readonly calls: number;
  /** The orders that may be sent, each any number of times. */
  readonly orders: readonly OrderName[];
  /** The indices of the nodes that may be called. */
  readonly called: readonly number[];
  /** The kinds of faults that may be injected. */
  readonly kinds: readonly FaultKind[];
  readonly lastingFaultsEnd: 'when no message is in transit' | 'when the clocks advance';
}

/** History that the invariants need. */
export interface RefusalGhost {
  /** All versions that were ever synced on a majority, in the order in which they were committed. */
  readonly committed: readonly number[];
  /** Each call: the index of its order, and its outcome so far. */
  readonly calls: readonly { readonly order: number; readonly outcome: CallOutcome }[];
}

type CallOutcome = 'open' | 'accepted' | 'refused' | 'unclear';
type RefusalView = View<ControlFacts, RefusalGhost>;

/** Deliberate mistakes that the invariant must detect. */
export type RefusalMistake =
  /** An order is refused because of another one that is still in progress. */
  | 'refused-for-a-pending-one'
  /** A former leader that does not know of its successor refuses by its own replica, without asking a majority. */
  | 'refused-by-its-own-copy';

/** Operators send orders to any node: a definite refusal must be based on committed state. */
export class RefusalProtocol implements Protocol<
  ControlCommand,
  ControlEvent,
  ControlFacts,
  RefusalGhost
> {
  readonly name = 'refusal';
  readonly nodes = NODES;
  readonly firstFrozen: number;
  readonly lastingFaultsEnd: RefusalBounds['lastingFaultsEnd'];
  readonly clockStepMs = CONTROL_STEP_MS;
  readonly isBundled = true;
  readonly faults: RefusalBounds;
  readonly firstDisks: readonly (readonly DiskWrite[])[] = [[], [], []];
  readonly firstGhost: RefusalGhost = { committed: [0], calls: [] };
  readonly #mistake: RefusalMistake | undefined;

  constructor(faults: RefusalBounds, mistake?: RefusalMistake) {
    this.faults = faults;
    this.firstFrozen = faults.beginning === 'former leader frozen' ? 1 << FIRST_LEADER : 0;
    this.lastingFaultsEnd = faults.lastingFaultsEnd;
    this.#mistake = mistake;
  }

  start(boot: Boot): ControlNode {
    return new ControlNode(NODES[boot.node] ?? '', NODES, true, boot);
  }

  prepare(run: FaultFreeRun<ControlCommand>): void {
    for (let step = 0; step < FOUNDING_CLOCK_STEPS; step += 1) {
      for (const node of NODES.keys()) run.tick(node);
      run.advance();
    }
    const { beginning } = this.faults;
    if (beginning !== 'founded') run.command(FIRST_LEADER, { call: 1, order: ORDERS[0] });
    if (beginning === 'former leader frozen') {
      run.freeze(FIRST_LEADER);
      for (let step = 0; step < TAKEOVER_CLOCK_STEPS; step += 1) {
        for (const node of NODES.keys()) if (node !== FIRST_LEADER) run.tick(node);
        run.advance();
      }
    }
    run.discardMessages();
  }

  allowsFault(_view: RefusalView, kind: FaultKind): boolean {
    return this.faults.kinds.includes(kind);
  }

  mayArriveLate(message: Message): boolean {
    const { kind } = message;
    return kind === 'write' || kind === 'writeReply' || kind === 'command' || kind === 'victory';
  }

  commands(view: RefusalView): readonly NodeCommand<ControlCommand>[] {
    const { calls, committed } = view.ghost;
    const callsBefore = this.faults.beginning === 'founded' ? 0 : 1;
    if (calls.length >= this.faults.calls + callsBefore) return [];
    const found: NodeCommand<ControlCommand>[] = [];
    for (const [index, order] of ORDERS.entries()) {
      // An operator can only base an order on a configuration that was in force.
      if (!this.faults.orders.includes(order.id) || !committed.includes(order.base)) continue;
      const call = calls.length * ORDERS.length + index + 1;
      for (const node of this.faults.called) found.push({ node, command: { call, order } });
    }
    return found;
  }

  checkInvariants(
    before: RefusalView,
    after: RefusalView,
    details: StepDetails<ControlCommand, ControlEvent>,
  ): InvariantCheck<RefusalGhost> {
    let ghost = before.ghost;
    if (details.command) {
      const order = ORDERS.findIndex(hasId.bind(undefined, details.command.order.id));
      const outcome = this.#isRefusedByMistake(before, details) ? 'refused' : 'open';
      ghost = { ...ghost, calls: [...ghost.calls, { order, outcome }] };
    }
    const version = committedVersion(after.disks);
    if (version !== undefined && !ghost.committed.includes(version)) {
      const order = ORDERS.find((order) => order.version === version);
      const inForce = ghost.committed.at(-1);
      if (order && order.base !== inForce) {
        return { ghost, violation: `${order.id} is committed over ${inForce}, not over its base` };
      }
      ghost = { ...ghost, committed: [...ghost.committed, version] };
    }
    for (const event of details.events) {
      const at = Math.floor((event.call - 1) / ORDERS.length);
      const call = ghost.calls[at];
      if (!call) continue;
      const outcome = outcomeOf(event);
      ghost = { ...ghost, calls: ghost.calls.with(at, { ...call, outcome }) };
    }
    return { ghost, violation: violationOf(ghost) };
  }

  /** Whether the mistake refuses the order on arrival. */
  #isRefusedByMistake(
    { ghost, facts }: RefusalView,
    { node, command }: StepDetails<ControlCommand, ControlEvent>,
  ): boolean {
    switch (this.#mistake) {
      case 'refused-for-a-pending-one':
        return ghost.calls.some(isOpen);
      case 'refused-by-its-own-copy': {
        const asked = facts[node ?? -1];
        if (!asked?.isServing || asked.version === command?.order.base) return false;
        return facts.some((facts) => facts.epoch > asked.epoch);
      }
      case undefined:
        return false;
    }
  }
}

function outcomeOf({ status }: ControlEvent): CallOutcome {
  if (status < 300) return 'accepted';
  const isClear = status >= 400 && status < 500 && status !== 408 && status !== 429;
  return isClear ? 'refused' : 'unclear';
}

/** The first wrong answer so far; undefined if all are right. */
function violationOf({ committed, calls }: RefusalGhost): string | undefined {
  for (const { order: index, outcome } of calls) {
    const order = ORDERS[index];
    if (!order) continue;
    const at = committed.indexOf(order.base);
    const following = committed[at + 1];
    const isInForce = committed.includes(order.version);
    if (outcome === 'accepted' && !isInForce) return `${order.id} is confirmed but not committed`;
    if (outcome !== 'refused') continue;
    if (isInForce) return `${order.id} is refused but committed`;
    if (following === undefined) {
      return `${order.id} is refused though its base ${order.base} is still in force`;
    }
  }
  return undefined;
}

/** The version in the write that a majority has synced; undefined if no single write is on a majority of disks. */
function committedVersion(disks: readonly (readonly DiskWrite[])[]): number | undefined {
  const holders = new Map<string, Set<NodeId>>();
  for (const [node, disk] of disks.entries()) {
    const write = disk.find((write) => isOfSlot(CONFIG_PARTITION, write));
    if (!write) continue;
    const key = `${write.epoch}.${write.count} ${write.body}`;
    const known = holders.get(key) ?? new Set();
    holders.set(key, known.add(nodeId(NODES[node] ?? '')));
  }
  const quorum = new Quorum(NODES.map(nodeId));
  for (const [key, by] of holders) {
    if (!quorum.isMajority(by)) continue;
    return parseConfig(key.slice(key.indexOf(' ') + 1))?.routing?.version ?? 0;
  }
  return undefined;
}

function isOpen(call: { readonly outcome: CallOutcome }): boolean {
  return call.outcome === 'open';
}

function hasId(id: string, order: ConfigureOrder): boolean {
  return order.id === id;
}
