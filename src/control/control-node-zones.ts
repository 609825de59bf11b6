import type { Moment, NodeId } from '../common/ids.js';
import type { ControlNodeZone } from '../common/messages.js';

/** Tells when a control node was last heard of; nothing if it never was. */
export interface Heartbeats {
  lastHeardAt(node: NodeId): Moment | undefined;
}

/** One that was silent for longer is told without a zone. */
const REACHABLE_MS = 1000;

/** In which zones the control nodes are, by their own word. */
export class ControlNodeZones {
  readonly #me: NodeId;
  readonly #zone: string;
  readonly #heartbeats: Heartbeats;
  readonly #zones = new Map<string, string>();

  /** Of this node, in `zone`, and of those that are heard of. */
  constructor(me: NodeId, zone: string, heartbeats: Heartbeats) {
    this.#me = me;
    this.#zone = zone;
    this.#heartbeats = heartbeats;
  }

  onZoneReported(id: string, zone: string): void {
    this.#zones.set(id, zone);
  }

  /** The zone that a node told, however long ago; '' if it told none. */
  zoneOf(id: string): string {
    return this.#zones.get(id) ?? '';
  }

  /** These nodes as agents are told of them, who turn to one in their own zone. */
  describe(now: Moment, ids: readonly NodeId[]): ControlNodeZone[] {
    const list: ControlNodeZone[] = [];
    for (const id of ids)
      list.push({ id, zone: id === this.#me ? this.#zone : this.#reachableZoneOf(now, id) });
    return list;
  }

  /** Of one that is silent nothing is told: nobody is to turn to it for being near. */
  #reachableZoneOf(now: Moment, id: NodeId): string {
    const at = this.#heartbeats.lastHeardAt(id);
    return at !== undefined && now - at < REACHABLE_MS ? this.zoneOf(id) : '';
  }
}
