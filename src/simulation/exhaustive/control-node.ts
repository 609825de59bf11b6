import { IdlePlanner } from '../../control/testing/idle-planner.js';
import { documentOf, PlainDialect } from '../../control/testing/plain-dialect.js';
import { array, number, optional, string, type, type Infer } from 'superstruct';
import { CONFIG_PARTITION } from '../../state/partition-names.js';
import type { StoredPartition } from '../../state/store.js';
import { partitionName, type Moment } from '../../common/ids.js';
import { parseAs } from '../../common/json.js';
import type { Message } from '../../common/messages.js';
import { isNewer } from '../../common/version.js';
import { ControlCore } from '../../control/control-core.js';
import { CONTROL_DEFAULTS } from '../../control/control-effect.js';
import type { VoteSettings } from '../../election/vote-settings.js';
import type { Boot, DiskWrite, Input, Output, Sent, Subject } from './local-states.js';

/** Classes inside the control core that an idle planner never makes change. */
export const UNUSED_CLASSES: readonly string[] = [
  'Placer',
  'QuotaShares',
  'Sessions',
  'IdlePlanner',
  'PlainDialect',
];

/** A process whose timers come less often takes itself for one that stood still. */
export const CONTROL_STEP_MS = 400;

/** The deployed proportions on few moments, as in the model of the election alone. */
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

/** Apart from what any other life counts. */
const LIFE_SPAN = 1e6;

/** A whole configuration of one operator: its number is all there is to it. */
export interface ConfigureOrder {
  readonly id: string;
  readonly base: number;
  readonly version: number;
}

export type ControlCommand = {
  /** Tells one sending of the order from another. */
  readonly call: number;
  readonly order: ConfigureOrder;
};

export interface ControlEvent {
  readonly call: number;
  readonly status: number;
  readonly body: string;
}

export interface ControlFacts {
  /** The sets of voters as this node knows them: two while a change is under way. */
  readonly voters: readonly (readonly string[])[];
  /** The operators' version in its copy, and in the copy that it serves by if it leads. */
  readonly version: number;
  readonly isServing: boolean;
  readonly isLeading: boolean;
  readonly epoch: number;
  readonly standing: string;
}

/** Deliberate mistakes that the invariants must find. */
export type ControlMistake =
  /** The voters after a change take over without the step in which both sets count, and the old ones are not told. */
  | 'joint-set-skipped'
  /** The same from the second change on. */
  | 'second-joint-set-skipped'
  /** Whoever says that it holds a joint set has the old one on its disk. */
  | 'joint-set-not-stored';

const ConfigShape = type({
  voters: array(array(string())),
  routing: optional(type({ version: number() })),
});

/** What of a configuration part the invariants look at. */
export type KnownConfig = Infer<typeof ConfigShape>;

export function docOf(body: string): KnownConfig | undefined {
  return body === '' ? undefined : parseAs(ConfigShape, body);
}

const DIALECT = new PlainDialect();
const PLANNER = new IdlePlanner();

/** The whole control core as a deployment starts it, with a planner that does nothing. */
export class ControlNode implements Subject<ControlCommand, ControlEvent, ControlFacts> {
  readonly #core: ControlCore;
  readonly #seeds: readonly string[];
  readonly #mistake: ControlMistake | undefined;

  /** `isFirst` says whether this process belongs to the deployment's very first start. */
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
    const lifeNumber = (incarnation * 16 + node) * LIFE_SPAN;
    const settings = {
      ...CONTROL_DEFAULTS,
      me,
      zone: me,
      seeds,
      incarnation: lifeNumber,
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
    const { elector, isServing, replicaStatus: standing, state } = this.#core;
    const doc = docOf(
      isServing ? state.body(CONFIG_PARTITION) : state.replicaBody(CONFIG_PARTITION),
    );
    return {
      voters: this.#voters(),
      version: doc?.routing?.version ?? 0,
      isServing,
      isLeading: elector.isLeading(),
      epoch: elector.epoch,
      standing: standing.name,
    };
  }

  /** By its own copy, or by one that was told as committed and is newer. */
  #voters(): readonly (readonly string[])[] {
    const { state, relay } = this.#core;
    const news = relay.latest('config');
    const isNews = news !== undefined && isNewer(news.version, state.versionOf(CONFIG_PARTITION));
    const doc = docOf(isNews ? news.body : state.replicaBody(CONFIG_PARTITION));
    return doc?.voters ?? [this.#seeds];
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
    const sends: Sent[] = [];
    const writes: DiskWrite[] = [];
    const events: ControlEvent[] = [];
    for (const effect of this.#core.drain()) {
      if (effect.do === 'send') {
        if (this.#isKeptFrom(effect.to, effect.message)) continue;
        sends.push({ to: effect.to, message: this.#told(effect.message) });
      } else if (effect.do === 'store') {
        writes.push({
          slot: effect.partition,
          ...effect.version,
          body: this.#bodyStored(effect.body),
        });
      } else if (effect.do === 'reply') {
        events.push({ call: effect.id, status: effect.status, body: effect.body });
      }
    }
    return { sends, writes, events };
  }

  #isKeptFrom(to: string, message: Message): boolean {
    if (message.kind !== 'write') return false;
    const voters = docOf(message.body)?.voters ?? [];
    return this.#isSkipped(voters) && voters[0]?.includes(to) === true;
  }

  /** Whether a joint set is left out by mistake. */
  #isSkipped([set, following]: KnownConfig['voters']): boolean {
    if (!set || !following) return false;
    if (this.#mistake === 'joint-set-skipped') return true;
    return this.#mistake === 'second-joint-set-skipped' && !set.every(this.#isSeed, this);
  }

  #isSeed(id: string): boolean {
    return this.#seeds.includes(id);
  }

  #told(message: Message): Message {
    if (message.kind !== 'write') return message;
    return { ...message, body: this.#bodyTold(message.body) };
  }

  #bodyTold(body: string): string {
    if (this.#mistake === undefined || body === '') return body;
    const [set, following] = docOf(body)?.voters ?? [];
    if (!set || !following) return body;
    return this.#isSkipped([set, following]) ? withVoters(body, following) : body;
  }

  #bodyStored(body: string): string {
    if (this.#mistake !== 'joint-set-not-stored' || body === '') return this.#bodyTold(body);
    const [set, following] = docOf(body)?.voters ?? [];
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
