import { array, number, optional, string, type } from 'superstruct';
import { CONFIG_PARTITION } from '../state/partition-names.js';
import { parseAs } from '../common/json.js';
import {
  compareVersions,
  isNewer,
  NO_VERSION,
  versionText,
  type Version,
} from '../common/version.js';
import type { Update, Relay } from '../dissemination/relay.js';
import type { ControlNode } from './control-node.js';
import type { OperatorAnswer } from './operator-call.js';
import type { Report } from './violation.js';

const ConfigShape = type({
  voters: array(array(string())),
  routing: optional(type({ version: number() })),
});
const AcceptedShape = type({ id: string(), version: string() });

interface KnownConfig {
  readonly body: string;
  readonly voters: readonly (readonly string[])[];
  readonly routingVersion: number;
}

interface Acknowledged {
  readonly editId: string;
  readonly version: Version;
}

/** What the rules are created with. */
export interface StateRulesSettings {
  /** Called with each violation. */
  readonly report: Report;
  /** Every control node of the run by its id, including those that have left. */
  readonly nodes: ReadonlyMap<string, ControlNode>;
  /** Whether a machine has left with its disk. */
  readonly hasLeft: (node: string) => boolean;
  /** Whether a node has lost its disk and may not vote yet. */
  readonly isUnderRepair: (node: string) => boolean;
}

function versionOf(text: string): Version {
  const [epoch = '0', count = '0'] = text.split('.');
  return { epoch: Number(epoch), count: Number(count) };
}

function majorityOf(set: readonly string[]): number {
  return Math.floor(set.length / 2) + 1;
}

/**
 * Rules of the shared state that hold at every step: every majority finds what was acknowledged, voters are changed by a
 * majority of the previous voters, one version has one body, and no process reverts to an older configuration.
 */
export class StateRules {
  readonly #settings: StateRulesSettings;
  readonly #configs = new Map<string, KnownConfig>();
  #newest: { readonly version: Version; readonly config: KnownConfig } | undefined;
  #acknowledged: Acknowledged | undefined;
  /** The newest configuration shown by each incarnation of a node or agent. */
  readonly #lastShown = new Map<string, { readonly version: Version; readonly routing: number }>();

  constructor(settings: StateRulesSettings) {
    this.#settings = settings;
  }

  /** The newest committed voters that any node has shown. */
  get voters(): readonly (readonly string[])[] {
    return this.#newest?.config.voters ?? [];
  }

  /** Records an acknowledged edit. */
  answered(answer: OperatorAnswer): void {
    const accepted = parseAs(AcceptedShape, answer.body);
    if (!accepted) return;
    const version = versionOf(accepted.version);
    const before = this.#acknowledged?.version ?? NO_VERSION;
    if (isNewer(version, before)) this.#acknowledged = { editId: accepted.id, version };
    this.check();
  }

  /** Checks what an incarnation of a node or agent holds as committed. */
  watch(id: string, incarnation: number, relay: Relay): void {
    const key = `${id} ${incarnation}`;
    const version = relay.version('config');
    const lastShown = this.#lastShown.get(key);
    if (lastShown && compareVersions(version, lastShown.version) === 0) return;
    const item = relay.latest('config');
    if (!item) return;
    const config = this.#learnConfig(item);
    if (!config) return;
    if (lastShown && isNewer(lastShown.version, version)) {
      const text = `${id} from ${versionText(lastShown.version)} to ${versionText(version)}`;
      this.#settings.report('version-stepped-back', text);
    } else if (lastShown && config.routingVersion < lastShown.routing) {
      const text = `${id} from configuration ${lastShown.routing} to ${config.routingVersion}`;
      this.#settings.report('version-stepped-back', text);
    }
    this.#lastShown.set(key, { version, routing: config.routingVersion });
  }

  /** Checks that the last acknowledged edit is found by every majority of the nodes that may vote. */
  check(): void {
    const acknowledged = this.#acknowledged;
    const [voters] = this.voters;
    if (!acknowledged || !voters) return;
    let holders = 0;
    let lacking = 0;
    for (const voter of voters) {
      if (this.#holds(voter, acknowledged.editId)) holders += 1;
      else if (!this.#settings.hasLeft(voter) && !this.#settings.isUnderRepair(voter)) lacking += 1;
    }
    if (holders > 0 && lacking < majorityOf(voters)) return;
    const { editId, version } = acknowledged;
    const text = `${editId} of ${versionText(version)}: ${holders} of ${voters.join(' ')} hold it`;
    this.#settings.report('acknowledged-lost', text);
  }

  #holds(voter: string, editId: string): boolean {
    if (this.#settings.hasLeft(voter)) return false;
    const stored = this.#settings.nodes.get(voter)?.disk.partition(CONFIG_PARTITION);
    return stored?.body.includes(editId) === true;
  }

  #learnConfig(item: Update): KnownConfig | undefined {
    const key = versionText(item.version);
    const known = this.#configs.get(key);
    if (known) {
      if (known.body !== item.body) this.#settings.report('one-version-two-bodies', key);
      return known;
    }
    const parsed = parseAs(ConfigShape, item.body);
    if (!parsed) return undefined;
    const routingVersion = parsed.routing?.version ?? 0;
    const config = { body: item.body, voters: parsed.voters, routingVersion };
    this.#configs.set(key, config);
    this.#checkVoterChange(item.version, config);
    return config;
  }

  #checkVoterChange(version: Version, config: KnownConfig): void {
    const before = this.#newest;
    if (before && !isNewer(version, before.version)) return;
    this.#newest = { version, config };
    if (!before || before.config.voters.join(' | ') === config.voters.join(' | ')) return;
    // The second step of a change drops the old voters. The joint version already prevents them from deciding alone, so
    // the previous voters need to hold only that version.
    const following = before.config.voters[1]?.join();
    const isSecondStep = following !== undefined && config.voters.join(' | ') === following;
    const needed = isSecondStep ? before.version : version;
    for (const set of before.config.voters) this.#requireMajority(set, needed, config);
    for (const set of config.voters) this.#requireMajority(set, version, config);
  }

  #requireMajority(set: readonly string[], version: Version, { voters }: KnownConfig): void {
    const { hasLeft, isUnderRepair } = this.#settings;
    let lacking = 0;
    for (const voter of set) {
      const mayVote = !hasLeft(voter) && !isUnderRepair(voter);
      if (mayVote && !this.#hasVersion(version, voter)) lacking += 1;
    }
    if (lacking < majorityOf(set)) return;
    const names = voters.join(' | ');
    const text = `${versionText(version)}: ${lacking} of ${set.join(' ')} lack ${names}`;
    this.#settings.report('voters-without-majority', text);
  }

  #hasVersion(version: Version, voter: string): boolean {
    const stored = this.#settings.nodes.get(voter)?.disk.partition(CONFIG_PARTITION);
    return stored !== undefined && compareVersions(stored.version, version) >= 0;
  }
}
