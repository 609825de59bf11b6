import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import { compareVersions, type Version } from '../common/version.js';
import { Relay } from '../dissemination/relay.js';
import { AgentCore } from './agent-core.js';

const SEEDS = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'];
const TICK_MS = 50;
/** The time after its start at which a machine counts as in touch; it must then have what a majority has committed. */
const IN_TOUCH_MS = 3000;
const OLD_VERSION: Version = { epoch: 4, count: 9 };
const NEW_VERSION: Version = { epoch: 6, count: 2 };

/** An agent that starts among control nodes of which some are partitioned, have an old configuration and still reply. */
class JoiningAgent {
  #now = 0;
  readonly core: AgentCore;
  readonly #nodes = new Map<string, { readonly relay: Relay; readonly leader: string }>();
  readonly #isReachable: (id: string) => boolean;

  constructor(partitioned: readonly string[], isReachable: (id: string) => boolean) {
    this.#isReachable = isReachable;
    for (const id of SEEDS) {
      const relay = new Relay();
      const version = partitioned.includes(id) ? OLD_VERSION : NEW_VERSION;
      relay.offer('config', version, JSON.stringify({ voters: [SEEDS] }));
      this.#nodes.set(id, { relay, leader: partitioned.includes(id) ? '' : '10.0.0.9:1' });
    }
    const settings = { me: '10.0.1.1:1', zone: 'z', freshnessBoundMs: 2500, incarnation: 0 };
    // The first control node depends on the address of the agent: here it is the first seed, the partitioned one.
    this.core = new AgentCore(
      { ...settings, seeds: rotatedSeeds(settings.me, SEEDS), isDeployed: true },
      moment(0),
    );
  }

  get version(): Version {
    return this.core.relay.version('config');
  }

  run(millis: number): void {
    for (const end = this.#now + millis; this.#now < end;) {
      this.#now += TICK_MS;
      const before = this.version;
      this.core.tick(moment(this.#now));
      this.#reply();
      expect(compareVersions(this.version, before)).toBeGreaterThanOrEqual(0);
    }
  }

  /** A control node sends a configuration again, or it arrives late. */
  receiveUpdate(from: string, version: Version): void {
    this.core.onMessage(moment(this.#now), from, 'mind', {
      kind: 'update',
      topic: 'config',
      ...version,
      body: JSON.stringify({ voters: [SEEDS] }),
    });
  }

  #reply(): void {
    for (const effect of this.core.drain()) {
      if (effect.do !== 'send' || !this.#isReachable(effect.to)) continue;
      const node = this.#nodes.get(effect.to);
      if (!node) continue;
      if (effect.message.kind === 'join') {
        this.core.onMessage(moment(this.#now), effect.to, 'mind', {
          kind: 'controlNodes',
          controlNodes: [],
          leader: node.leader,
          ...node.relay.version('config'),
        });
      }
      if (effect.message.kind !== 'freshnessRequest') continue;
      node.relay.onKnownVersions('agent', effect.message.have);
      for (const { message } of node.relay.flush())
        this.core.onMessage(moment(this.#now), effect.to, 'mind', message);
    }
  }
}

/** Rotates the seeds so that the first control node of the agent is the first seed. */
function rotatedSeeds(me: string, seeds: readonly string[]): readonly string[] {
  for (let shift = 0; shift < seeds.length; shift += 1) {
    const rotated = [...seeds.slice(shift), ...seeds.slice(0, shift)];
    const core = new AgentCore(
      { me, zone: 'z', seeds: rotated, freshnessBoundMs: 2500, incarnation: 0, isDeployed: true },
      moment(0),
    );
    if (core.controlNode === seeds[0]) return rotated;
  }
  return seeds;
}

function isReachable(): boolean {
  return true;
}

function isNotSecondSeed(id: string): boolean {
  return id !== SEEDS[1];
}

/** An agent starts at a partitioned control node and has the newest configuration before it counts as in touch. */
function checkJoinAtPartitioned(canReach: (id: string) => boolean): void {
  const agent = new JoiningAgent([SEEDS[0] ?? ''], canReach);
  expect(agent.core.controlNode).toBe(SEEDS[0]);
  agent.run(IN_TOUCH_MS);
  expect(agent.version).toEqual(NEW_VERSION);
  // From then on it applies no older configuration, whichever node sends it.
  agent.receiveUpdate(SEEDS[0] ?? '', OLD_VERSION);
  agent.receiveUpdate(SEEDS[1] ?? '', { epoch: NEW_VERSION.epoch, count: NEW_VERSION.count - 1 });
  expect(agent.version).toEqual(NEW_VERSION);
  agent.run(5000);
  expect(agent.version).toEqual(NEW_VERSION);
}

test('an agent that joins at a partitioned control node soon has the newest configuration, and keeps it', () =>
  checkJoinAtPartitioned(isReachable));
test('an agent that joins at a partitioned control node has the newest configuration also if another node is unreachable', () =>
  checkJoinAtPartitioned(isNotSecondSeed));
