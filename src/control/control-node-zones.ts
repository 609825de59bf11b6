import type { Moment, NodeId } from '../common/ids.js';
import type { ControlNodeZone } from '../common/messages.js';

/** The times of the last heartbeats of control nodes. */
export interface Heartbeats {
  /** When a control node was last heard; `undefined` if it never was. */
  lastHeardAt(node: NodeId): Moment | undefined;
}

/** A control node that has been silent for this long is described without its zone. */
const REACHABILITY_TIMEOUT_MS = 1000;

/** The zones of the control nodes, as they report them. */
export class ControlNodeZones {
  readonly #me: NodeId;
  readonly #zone: string;
  readonly #heartbeats: Heartbeats;
  readonly #zones = new Map<string, string>();

  /** `me` is the id of this node, and `zone` its zone. */
  constructor(me: NodeId, zone: string, heartbeats: Heartbeats) {
    this.#me = me;
    this.#zone = zone;
    this.#heartbeats = heartbeats;
  }

  /** A control node reported its zone. */
  onZoneReported(id: string, zone: string): void {
    this.#zones.set(id, zone);
  }

  /** The zone that a node last reported; '' if it never did. */
  zoneOf(id: string): string {
    return this.#zones.get(id) ?? '';
  }

  /** The given nodes with their zones, as sent to agents; an agent prefers a node in its own zone. */
  describe(now: Moment, ids: readonly NodeId[]): ControlNodeZone[] {
    const list: ControlNodeZone[] = [];
    for (const id of ids)
      list.push({ id, zone: id === this.#me ? this.#zone : this.#reachableZoneOf(now, id) });
    return list;
  }

  /** The zone of a node; '' if the node is silent, so that no agent prefers it. */
  #reachableZoneOf(now: Moment, id: NodeId): string {
    const heardAt = this.#heartbeats.lastHeardAt(id);
    return heardAt !== undefined && now - heardAt < REACHABILITY_TIMEOUT_MS ? this.zoneOf(id) : '';
  }
}
