import { later, type Moment } from '../common/ids.js';
import type { ControlNodeZone } from '../common/messages.js';
import type { AgentSettings } from './agent-effect.js';

/** For how long a control node that failed is not chosen again, where there is another. */
const AVOIDANCE_MS = 3000;
const AVOIDED_RANK = 2;
const OTHER_ZONE_RANK = 1;

/** The control nodes that an agent may have its session with, and which of them is chosen. */
export class ControlNodeChoice {
  readonly #settings: AgentSettings;
  readonly #zones = new Map<string, string>();
  /** Control nodes that failed, with when each may be chosen again. */
  readonly #avoided = new Map<string, Moment>();
  #seeds: readonly string[];
  #nodes: readonly string[];
  #index: number;

  constructor(settings: AgentSettings) {
    this.#settings = settings;
    this.#seeds = settings.seeds;
    this.#nodes = settings.seeds;
    // Agents start at different control nodes, so that the load is spread.
    this.#index = hashOf(settings.me) % settings.seeds.length;
  }

  /** The chosen control node. */
  get current(): string {
    return this.#nodes[this.#index % this.#nodes.length] ?? '';
  }

  /** All others. */
  get others(): readonly string[] {
    return this.#nodes.filter((node) => node !== this.current);
  }

  /** Adds the seeds of changed settings; the chosen node stays. */
  setSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
    const { current } = this;
    this.#nodes = [...new Set([...this.#nodes, ...seeds])];
    this.#index = Math.max(0, this.#nodes.indexOf(current));
  }

  /** Takes the voters of a new configuration; the chosen node stays if it is among them. */
  setVoters(voters: ReadonlySet<string>): void {
    if (voters.size === 0) return;
    const { current } = this;
    // Seeds that are no voters stay, for when no voter replies.
    this.#nodes = this.#settings.isDeployed
      ? [...new Set([...voters, ...this.#seeds])]
      : [...voters];
    const index = this.#nodes.indexOf(current);
    this.#index = index < 0 ? hashOf(this.#settings.me) % this.#nodes.length : index;
  }

  /** Takes the zones of the control nodes. */
  setZones(nodes: readonly ControlNodeZone[]): void {
    this.#zones.clear();
    for (const { id, zone } of nodes) this.#zones.set(id, zone);
  }

  /** Whether this is a control node of the agent's zone. */
  isInOwnZone(id: string): boolean {
    return this.#zones.get(id) === this.#settings.zone;
  }

  /** This node failed. */
  avoid(now: Moment, id: string): void {
    this.#avoided.set(id, later(now, AVOIDANCE_MS));
  }

  /** Chooses the next in turn; in a deployment those of the own zone go first, and those that failed lately last. */
  chooseNext(now: Moment): void {
    const count = this.#nodes.length;
    let best = (this.#index + 1) % count;
    if (this.#settings.isDeployed) {
      let bestRank = Infinity;
      for (let step = 1; step <= count; step += 1) {
        const index = (this.#index + step) % count;
        const rank = this.#rank(now, this.#nodes[index] ?? '');
        if (rank >= bestRank) continue;
        bestRank = rank;
        best = index;
      }
    }
    this.#index = best;
  }

  /** Chooses a node of the own zone if the current one is in another; returns whether it did. Traffic between zones costs. */
  chooseCloser(now: Moment): boolean {
    if (this.isInOwnZone(this.current)) return false;
    const closer = this.#nodes.findIndex((id) => this.isInOwnZone(id) && !this.#isAvoided(now, id));
    if (closer < 0) return false;
    this.#index = closer;
    return true;
  }

  #rank(now: Moment, id: string): number {
    return (
      (this.#isAvoided(now, id) ? AVOIDED_RANK : 0) + (this.isInOwnZone(id) ? 0 : OTHER_ZONE_RANK)
    );
  }

  #isAvoided(now: Moment, id: string): boolean {
    return now < (this.#avoided.get(id) ?? now);
  }
}

function hashOf(text: string): number {
  let hash = 7;
  for (let index = 0; index < text.length; index += 1)
    hash = (hash * 31 + text.charCodeAt(index)) >>> 0;
  return hash;
}
