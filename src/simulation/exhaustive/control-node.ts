import { IdlePlanner } from '../../control/testing/idle-planner.js';
import { documentOf, PlainDialect } from '../../control/testing/plain-dialect.js';
import { array, number, optional, string, type, type Infer } from 'superstruct';
import { CONFIG_PARTITION } from '../../state/partition-names.js';
import type { StoredPartition } from '../../state/store.js';
import { partitionName, type Moment } from '../../common/ids.js';
import { parseAs } from '../../common/json.js';
import type { Message } from '../../common/messages.js';
import { ControlCore } from '../../control/control-core.js';
import { VOTERS_TOPIC } from '../../dissemination/relay.js';
import { CONTROL_DEFAULTS } from '../../control/control-effect.js';
import type { VoteSettings } from '../../election/vote-settings.js';
import type { Boot, DiskWrite, Input, Output, OutgoingMessage, Subject } from './local-states.js';

/** Classes of the control core whose instances never change with an idle planner, so that a digest leaves them out. */
export const UNUSED_CLASSES: readonly string[] = [
  'Placer',
  'QuotaShares',
  'Sessions',
  'IdlePlanner',
  'PlainDialect',
];

/** Milliseconds per clock step: after a longer interval between ticks a control node concludes that it was stalled. */
export const CONTROL_STEP_MS = 400;

/** Roughly the proportions of the default timing, in few clock steps, as in the model of the election alone. */
const VOTE: VoteSettings = {
  pingMs: CONTROL_STEP_MS,
  peerTimeoutMs: 3 * CONTROL_STEP_MS,
  halfLifeSeconds: 12 * 3600,
  electionMs: CONTROL_STEP_MS,
  renewMs: CONTROL_STEP_MS / 10,
  leaseMs: 2 * CONTROL_STEP_MS,
  handoverGapMs: CONTROL_STEP_MS,
  drift: 0,
  diskStallMs: 2 * CONTROL_STEP_MS,
};

/** Distance between the incarnation numbers of two starts: ids that are counted up from them never coincide. */
const INCARNATION_SPACING = 1e6;

/** An operator's order to replace the whole configuration; the document consists of its version number alone. */
export interface ConfigureOrder {
  readonly id: string;
  /** The version of the configuration that the order was made from. */
  readonly base: number;
  readonly version: number;
}

/** One attempt of an operator to send an order. */
export type ControlCommand = {
  /** Identifies the attempt: the same order may be sent several times. */
  readonly call: number;
  readonly order: ConfigureOrder;
};

/** The reply to an operator's call, with its HTTP status. */
export interface ControlEvent {
  readonly call: number;
  readonly status: number;
  readonly body: string;
}

/** What the invariants need to know of one control node. */
export interface ControlFacts {
  /** The sets of voters known to this node: two during a change of voters. */
  readonly voters: readonly (readonly string[])[];
  /** The version of the operators' configuration in its replica, or in the state that it serves while it leads. */
  readonly version: number;
  readonly isServing: boolean;
  readonly isLeading: boolean;
  readonly epoch: number;
  readonly replicaStatus: string;
}

/** Deliberate mistakes that the invariants must detect. */
export type ControlMistake =
  /** The new set of voters takes over without a joint set, and the old voters do not get the write. */
  | 'joint-set-skipped'
  /** The same, but only from the second change of voters on. */
  | 'second-joint-set-skipped'
  /** A node that acknowledges a joint set has only the old set on its disk. */
  | 'joint-set-not-stored'
  /** The voters of the newest configuration on the disk of a node are sent to no other node. */
  | 'voters-not-reported';

const ConfigShape = type({
  voters: array(array(string())),
  routing: optional(type({ version: number() })),
});

/** The fields of a configuration partition that the invariants use. */
export type KnownConfig = Infer<typeof ConfigShape>;

/** Parses the body of a configuration partition; undefined if it is empty. */
export function parseConfig(body: string): KnownConfig | undefined {
  return body === '' ? undefined : parseAs(ConfigShape, body);
}

const DIALECT = new PlainDialect();
const PLANNER = new IdlePlanner();

/** The whole control core, started as in a deployment, with a planner that does nothing. */
export class ControlNode implements Subject<ControlCommand, ControlEvent, ControlFacts> {
  readonly #core: ControlCore;
  readonly #seeds: readonly string[];
  readonly #mistake: ControlMistake | undefined;

  /** `isFirst`: whether the first start of this node is part of the first start of the whole deployment. */
  constructor(
    me: string,
    seeds: readonly string[],
    isFirst: boolean,
    boot: Boot,
    mistake?: ControlMistake,
  ) {
    this.#seeds = seeds;
    this.#mistake = mistake;
    const { now, disk, node, incarnation } = boot;
    const isFirstStart = isFirst && incarnation === 0;
    const deployed = { dialect: DIALECT, planner: PLANNER, isFirstStart, listMs: 1e9 };
    const uniqueIncarnation = (incarnation * 16 + node) * INCARNATION_SPACING;
    const settings = {
      ...CONTROL_DEFAULTS,
      me,
      zone: me,
      seeds,
      incarnation: uniqueIncarnation,
      foundMs: 0,
      deployed,
    };
    this.#core = new ControlCore(settings, disk.map(storedPartition), now, VOTE);
    this.#core.drain();
  }

  get state(): unknown {
    return this.#core;
  }

  facts(): ControlFacts {
    const { elector, isServing, replicaStatus: status, state } = this.#core;
    const doc = parseConfig(
      isServing ? state.body(CONFIG_PARTITION) : state.replicaBody(CONFIG_PARTITION),
    );
    return {
      voters: this.#core.voterSets,
      version: doc?.routing?.version ?? 0,
      isServing,
      isLeading: elector.isLeading(),
      epoch: elector.epoch,
      replicaStatus: status.name,
    };
  }

  perform(now: Moment, input: Input<ControlCommand>): Output<ControlEvent> {
    switch (input.kind) {
      case 'tick':
        this.#core.tick(now);
        break;
      case 'receive':
        for (const message of input.messages) {
          this.#core.onMessage(now, input.from, message, input.from);
        }
        break;
      case 'stored':
        this.#core.onPersisted(now, partitionName(input.write.slot), input.write);
        break;
      case 'command': {
        const { call, order } = input.command;
        const { id, base, version } = order;
        const body = JSON.stringify({ id, base, text: documentOf(version) });
        this.#core.onCommand(now, call, 'configure', body);
        break;
      }
    }
    return this.#output();
  }

  #output(): Output<ControlEvent> {
    const sends: OutgoingMessage[] = [];
    const writes: DiskWrite[] = [];
    const events: ControlEvent[] = [];
    for (const effect of this.#core.drain()) {
      if (effect.do === 'send') {
        if (this.#isWithheld(effect.to, effect.message)) continue;
        sends.push({ to: effect.to, message: this.#withMistake(effect.message) });
      } else if (effect.do === 'store') {
        writes.push({
          slot: effect.partition,
          ...effect.version,
          body: this.#storedBody(effect.body),
        });
      } else if (effect.do === 'reply') {
        events.push({ call: effect.id, status: effect.status, body: effect.body });
      }
    }
    return { sends, writes, events };
  }

  /** Whether the mistake withholds a message: reported voters, or a skipped joint set from the old voters. */
  #isWithheld(to: string, message: Message): boolean {
    if (this.#mistake === 'voters-not-reported')
      return message.kind === 'update' && message.topic === VOTERS_TOPIC;
    if (message.kind !== 'write') return false;
    const voters = parseConfig(message.body)?.voters ?? [];
    return this.#skipsJointSet(voters) && voters[0]?.includes(to) === true;
  }

  /** Whether the mistake replaces these voters, if they are a joint set, by the new set alone. */
  #skipsJointSet([set, following]: KnownConfig['voters']): boolean {
    if (!set || !following) return false;
    if (this.#mistake === 'joint-set-skipped') return true;
    return this.#mistake === 'second-joint-set-skipped' && !set.every(this.#isSeed, this);
  }

  #isSeed(id: string): boolean {
    return this.#seeds.includes(id);
  }

  #withMistake(message: Message): Message {
    if (message.kind !== 'write') return message;
    return { ...message, body: this.#sentBody(message.body) };
  }

  #sentBody(body: string): string {
    if (this.#mistake === undefined || body === '') return body;
    const [set, following] = parseConfig(body)?.voters ?? [];
    if (!set || !following) return body;
    return this.#skipsJointSet([set, following]) ? withVoters(body, following) : body;
  }

  #storedBody(body: string): string {
    if (this.#mistake !== 'joint-set-not-stored' || body === '') return this.#sentBody(body);
    const [set, following] = parseConfig(body)?.voters ?? [];
    return set && following ? withVoters(body, set) : body;
  }
}

function withVoters(body: string, set: readonly string[]): string {
  const raw: unknown = JSON.parse(body);
  return typeof raw === 'object' ? JSON.stringify({ ...raw, voters: [set] }) : body;
}

function storedPartition({ slot, epoch, count, body }: DiskWrite): StoredPartition {
  return { partition: partitionName(slot), version: { epoch, count }, body, isIntact: true };
}
