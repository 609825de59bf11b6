import { moment } from '../../common/ids.js';
import type { Message } from '../../common/messages.js';
import { VOTE_DEFAULTS } from '../../election/vote-settings.js';
import { PLACER_DEFAULTS } from '../../placement/placer-types.js';
import type { Machines } from '../../placement/shapes.js';
import { VOTE_RECORD } from '../../state/partition-names.js';
import type { StoredPartition } from '../../state/store.js';
import { CONTROL_DEFAULTS, type ControlEffect } from '../control-effect.js';
import { ControlComponents } from '../control-components.js';
import { makeReplica, type ControlReplica } from '../control-replica.js';

/** A message with its recipient, which comes first. */
export type Sent = readonly [string, Message];

/** A list of machines with one runner. */
export const MACHINES: Machines = {
  revision: 3,
  machines: [{ id: 'r1', address: 'r1:1', zone: 'z', service: '', leaving: false }],
};

const START = moment(0);

/** The disk of a node that may vote and has granted no epoch. */
export const SOUND_DISK: readonly StoredPartition[] = [
  {
    partition: VOTE_RECORD,
    version: { epoch: 0, count: 1 },
    body: JSON.stringify({ epoch: 0, grantEpoch: 0, grantLeader: '' }),
    isIntact: true,
  },
];

/** The components of node `a` of three, without the core that connects them. */
export class ComponentsNode {
  readonly replica: ControlReplica;
  readonly components: ControlComponents;

  constructor(stored: readonly StoredPartition[]) {
    const settings = {
      ...CONTROL_DEFAULTS,
      me: 'a',
      zone: 'z',
      incarnation: 1000,
      seeds: ['a', 'b', 'c'],
    };
    this.replica = makeReplica(settings, stored, START, VOTE_DEFAULTS);
    this.components = new ControlComponents(settings, PLACER_DEFAULTS, this.replica, START, {
      mayOrder: returnFalse,
      drainEffects: doNothing,
      peers: noPeers,
    });
  }

  /** Takes the effects since the last call. */
  drain(): readonly ControlEffect[] {
    return this.replica.effects.drain();
  }

  /** Takes the effects since the last call, and returns the messages among them. */
  sent(): Sent[] {
    const sent: Sent[] = [];
    for (const effect of this.drain())
      if (effect.do === 'send') sent.push([effect.to, effect.message]);
    return sent;
  }
}

function returnFalse(): boolean {
  return false;
}
function doNothing(): void {
  /* The election decides nothing in these tests. */
}
function noPeers(): readonly string[] {
  return [];
}
