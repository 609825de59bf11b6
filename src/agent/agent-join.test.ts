import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import { compareVersions, type Version } from '../common/version.js';
import { Relay } from '../dissemination/relay.js';
import { AgentCore } from './agent-core.js';

const SEEDS = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'];
const TICK_MS = 50;
/** A machine counts as in touch only after so long; by then it works by what a majority accepted. */
const IN_TOUCH_MS = 3000;
const OLD: Version = { epoch: 4, count: 9 };
const NEW: Version = { epoch: 6, count: 2 };

/** An agent that starts among control nodes of which some are cut off, with old configurations, and answer all the same. */
class JoiningAgent {
  #now = 0;
  readonly core: AgentCore;
  readonly #nodes = new Map<string, { readonly relay: Relay; readonly leader: string }>();
  readonly #isReached: (id: string) => boolean;

  constructor(cutOff: readonly string[], isReached: (id: string) => boolean) {
    this.#isReached = isReached;
    for (const id of SEEDS) {
      const relay = new Relay();
      const version = cutOff.includes(id) ? OLD : NEW;
      relay.offer('config', version, JSON.stringify({ voters: [SEEDS] }));
      this.#nodes.set(id, { relay, leader: cutOff.includes(id) ? '' : '10.0.0.9:1' });
    }
    const settings = { me: '10.0.1.1:1', zone: 'z', freshnessBoundMs: 2500, incarnation: 0 };
    // Each agent begins at a seed of its own: here at the first, which is the one cut off.
    this.core = new AgentCore(
      { ...settings, seeds: seedsBeginningAt(settings.me, SEEDS), isDeployed: true },
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
      this.#answer();
      expect(compareVersions(this.version, before)).toBeGreaterThanOrEqual(0);
    }
  }

  /** What was on its way arrives late, or comes once more. */
  hear(from: string, version: Version): void {
    this.core.onMessage(moment(this.#now), from, 'mind', {
      kind: 'update',
      topic: 'config',
      ...version,
      body: JSON.stringify({ voters: [SEEDS] }),
    });
  }

  #answer(): void {
    for (const effect of this.core.drain()) {
      if (effect.do !== 'send' || !this.#isReached(effect.to)) continue;
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

/** The seeds turned so that the agent's first control node is the first of them. */
function seedsBeginningAt(me: string, seeds: readonly string[]): readonly string[] {
  for (let turn = 0; turn < seeds.length; turn += 1) {
    const turned = [...seeds.slice(turn), ...seeds.slice(0, turn)];
    const core = new AgentCore(
      { me, zone: 'z', seeds: turned, freshnessBoundMs: 2500, incarnation: 0, isDeployed: true },
      moment(0),
    );
    if (core.controlNode === seeds[0]) return turned;
  }
  return seeds;
}

function isReached(): boolean {
  return true;
}

function isNotTheSecond(id: string): boolean {
  return id !== SEEDS[1];
}

/** It begins at a control node that is cut off, and has the newest before it counts as in touch. */
function checkJoinsAtCutOff(reached: (id: string) => boolean): void {
  const agent = new JoiningAgent([SEEDS[0] ?? ''], reached);
  expect(agent.core.controlNode).toBe(SEEDS[0]);
  agent.run(IN_TOUCH_MS);
  expect(agent.version).toEqual(NEW);
  // From then on nothing older is taken, whoever tells it.
  agent.hear(SEEDS[0] ?? '', OLD);
  agent.hear(SEEDS[1] ?? '', { epoch: NEW.epoch, count: NEW.count - 1 });
  expect(agent.version).toEqual(NEW);
  agent.run(5000);
  expect(agent.version).toEqual(NEW);
}

test('an agent that joins at a cut-off control node soon has the newest, and never goes back', () =>
  checkJoinsAtCutOff(isReached));
test('the same where it cannot reach one of the others', () => checkJoinsAtCutOff(isNotTheSecond));
