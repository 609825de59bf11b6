import type { Moment, NodeId } from '../common/ids.js';
import type { ControlNodeZone } from '../common/messages.js';

/** Tells when a control node was last heard of; nothing if it never was. */
export interface Heartbeats {
  lastHeardAt(node: NodeId): Moment | undefined;
}

/** A control node that was silent for longer is described without its zone. */
const REACHABLE_MS = 1000;

/** The zones of the control nodes, as they report them. */
export class ControlNodeZones {
  readonly #me: NodeId;
  readonly #zone: string;
  readonly #heartbeats: Heartbeats;
  readonly #zones = new Map<string, string>();

  /** `me` is this node, which is in `zone`. */
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

  /** These nodes as agents get them, which prefer one in their own zone. */
  describe(now: Moment, ids: readonly NodeId[]): ControlNodeZone[] {
    const list: ControlNodeZone[] = [];
    for (const id of ids)
      list.push({ id, zone: id === this.#me ? this.#zone : this.#reachableZoneOf(now, id) });
    return list;
  }

  /** A silent node has no zone, so that no agent prefers it. */
  #reachableZoneOf(now: Moment, id: NodeId): string {
    const at = this.#heartbeats.lastHeardAt(id);
    return at !== undefined && now - at < REACHABLE_MS ? this.zoneOf(id) : '';
  }
}
