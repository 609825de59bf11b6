import { later, type Moment } from '../common/ids.js';
import type { ControlNodeZone } from '../common/messages.js';
import type { AgentSettings } from './agent-effect.js';

/** How long a failed control node is not chosen again if there is another one. */
const AVOIDANCE_MS = 3000;
/** Summands of a node's rank; the lowest rank is chosen. A failed node ranks below a node of another zone. */
const AVOIDED_RANK = 2;
const OTHER_ZONE_RANK = 1;

/** The control nodes that an agent may have its session with, and the choice among them. */
export class ControlNodeChoice {
  readonly #settings: AgentSettings;
  readonly #zones = new Map<string, string>();
  /** Failed control nodes, each with the time from which it may be chosen again. */
  readonly #avoided = new Map<string, Moment>();
  #seeds: readonly string[];
  #nodes: readonly string[];
  #index: number;

  constructor(settings: AgentSettings) {
    this.#settings = settings;
    this.#seeds = settings.seeds;
    this.#nodes = settings.seeds;
    // Agents start with different control nodes to spread the load.
    this.#index = hashOf(settings.me) % settings.seeds.length;
  }

  /** The chosen control node; empty if none is known. */
  get current(): string {
    return this.#nodes[this.#index % this.#nodes.length] ?? '';
  }

  /** All control nodes but the chosen one. */
  get others(): readonly string[] {
    return this.#nodes.filter((node) => node !== this.current);
  }

  /** Adds the seeds of changed settings; the choice stays. */
  setSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
    const { current } = this;
    this.#nodes = [...new Set([...this.#nodes, ...seeds])];
    this.#index = Math.max(0, this.#nodes.indexOf(current));
  }

  /** Applies the voters of a new configuration; the choice stays if it is among them. */
  setVoters(voters: ReadonlySet<string>): void {
    if (voters.size === 0) return;
    const { current } = this;
    // Seeds that are not voters stay, for the case that no voter replies.
    this.#nodes = this.#settings.isDeployed
      ? [...new Set([...voters, ...this.#seeds])]
      : [...voters];
    const index = this.#nodes.indexOf(current);
    this.#index = index < 0 ? hashOf(this.#settings.me) % this.#nodes.length : index;
  }

  /** Replaces the known zones of the control nodes. */
  setZones(nodes: readonly ControlNodeZone[]): void {
    this.#zones.clear();
    for (const { id, zone } of nodes) this.#zones.set(id, zone);
  }

  /** Whether the node is known to be in the zone of the agent. */
  isInOwnZone(id: string): boolean {
    return this.#zones.get(id) === this.#settings.zone;
  }

  /** Marks a node as failed: for a while it is chosen only if there is no other. */
  avoid(now: Moment, id: string): void {
    this.#avoided.set(id, later(now, AVOIDANCE_MS));
  }

  /**
   * Chooses the next node in turn. In a deployment, nodes of the own zone are preferred, and nodes that failed recently come
   * last.
   */
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

  /**
   * Chooses a node of the own zone if the current one is in another zone, since traffic between zones has a cost. Returns
   * whether the choice changed.
   */
  chooseInOwnZone(now: Moment): boolean {
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
