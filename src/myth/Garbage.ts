import { SHAPES, type Message } from '../kin/Messages.js';
import type { Seeded } from './Seeded.js';

const WORDS = ['', 'config', 'places', 'machines', 'p-0', 'mind-0:1', 'mind-1:1', 'mind-2:1', 'link-0:1', 'flow@0', 'unknown', '\u0000', '{}', '[]', 'null', '{"number":-1}', '{"places":[{}]}', '{"revision":1e308,"machines":[]}'] as const;
const NUMBERS = [0, -1, 1, 2, 3, 4, 7, 0.5, 1e6, 1e15, -1e15] as const;

/** What a node of another build, or none of ours, might say: of the right kinds, and otherwise anything. */
export class Garbage {
  readonly #seeded: Seeded;
  /** Bodies as they really are, to be spoilt. */
  readonly #bodies: readonly string[];

  constructor(seeded: Seeded, bodies: readonly string[]) {
    this.#seeded = seeded;
    this.#bodies = bodies;
  }

  message(): Message {
    const kinds = Object.entries(SHAPES);
    for (;;) {
      const [kind, shape] = kinds[this.#seeded.below(kinds.length)] ?? ['ack', SHAPES.ack];
      const schema: object = shape.schema;
      const value: unknown = { kind, ...this.#fields(schema) };
      if (isMessage(shape, value)) return value;
    }
  }

  #fields(schema: object): object {
    const fields: Record<string, unknown> = {};
    const entries: [string, unknown][] = Object.entries(schema);
    for (const [key, shape] of entries) fields[key] = this.#value(shape, key);
    return fields;
  }

  #value(shape: unknown, key: string): unknown {
    if (typeof shape !== 'object' || shape === null || !('type' in shape)) return undefined;
    const inner: unknown = 'schema' in shape ? shape.schema : undefined;
    if (shape.type === 'number') return this.#seeded.pick(NUMBERS);
    if (shape.type === 'boolean') return this.#seeded.isLikely(0.5);
    if (shape.type === 'string') return key === 'body' ? this.text() : this.#seeded.pick(WORDS);
    if (shape.type === 'array') {
      const list = [];
      for (let count = this.#seeded.below(3); count > 0; count -= 1) list.push(this.#value(inner, key));
      return list;
    }
    return typeof inner === 'object' && inner !== null ? this.#fields(inner) : undefined;
  }

  /** A real body with a piece cut out, changed or twice in it; or nothing of the kind. */
  text(): string {
    const body = this.#seeded.pick(this.#bodies) ?? '';
    const from = this.#seeded.below(body.length + 1);
    const until = from + this.#seeded.below(20);
    switch (this.#seeded.below(5)) {
      case 0: return body.slice(0, from) + body.slice(until);
      case 1: return body.slice(0, from) + (this.#seeded.pick(['"', '}', ',', '9', 'null', '-', '[']) ?? '') + body.slice(from);
      case 2: return body.replace(/-?\d+/g, String(this.#seeded.pick(NUMBERS)));
      case 3: return body.replace(/"[a-z-]+":/, '"other":');
      default: return this.#seeded.pick(WORDS) ?? '';
    }
  }
}

function isMessage(shape: { is(value: unknown): boolean }, value: unknown): value is Message { return shape.is(value); }

if (import.meta.vitest) {
  const { test, expect } = import.meta.vitest;
  const { Seeded: SeededClass } = await import('./Seeded.js');
  const { compile } = await import('../code/Language.js');
  const { Decision, DECISION_DEFAULTS } = await import('../flow/Decision.js');
  const { moment } = await import('../kin/Ids.js');
  const { LinkCore } = await import('../link/LinkCore.js');
  const { Simulation } = await import('./Simulation.js');
  const { table } = compile('map POST /c to check\nrow check m-* weight 9 take 5/s late 10s once stream');
  const BODIES = [
    JSON.stringify({ number: 1, table, emptied: ['a'], voters: [['mind-0:1']] }), JSON.stringify({ id: 'e', base: 0, table }), JSON.stringify({ id: 'e', base: 0, row: 'check/m-*', column: 'weight', value: 3 }),
    JSON.stringify({ places: [{ model: 'm-0', seats: [{ runner: 'r', primary: true, adapters: [] }], wait: '' }], runners: [{ id: 'r', address: 'r:1', zone: 'a', service: '', slots: 2, upMs: 5 }], flows: 2, shares: [] }),
    JSON.stringify({ revision: 4, machines: [{ id: 'r', address: 'r:1', zone: 'a', service: '', leaving: false }] }), JSON.stringify({ id: 'e', zone: 'a', empty: true }), JSON.stringify({ id: 's', old: 'mind-0:1', new: 'x' }),
  ];
  async function checkProxy(): Promise<void> {
    for (let seed = 1; seed <= 100; seed += 1) {
      await new Promise(setImmediate);
      const seeded = new SeededClass(seed);
      const garbage = new Garbage(seeded, BODIES);
      const decision = new Decision({ ...DECISION_DEFAULTS, blindMs: 2500, me: 'f' });
      const link = new LinkCore({ me: 'link-0:1', zone: 'z', seeds: ['mind-0:1', 'mind-1:1', 'mind-2:1'], blindMs: 2500, life: 0 }, moment(0));
      for (let now = 0; now < 3000; now += 10) {
        const topic = seeded.pick(['config', 'places', 'machines']) ?? '';
        decision.news(moment(now), topic, { epoch: 2, count: now }, garbage.text());
        decision.vouch(decision.ask(moment(now)), { epoch: 0, count: 0 }, 0);
        decision.gate(moment(now), { id: now, method: 'POST', path: '/c', model: seeded.pick(WORDS) ?? '', adapter: '', parts: [] });
        decision.beat(moment(now));
        link.receive(moment(now), seeded.pick(['mind-0:1', 'flow@0', 'link-9:1']) ?? '', seeded.pick(['flow', 'mind', 'link']) ?? '', garbage.message());
        link.beat(moment(now));
        link.drain();
      }
      decision.drain();
    }
  }
  async function checkMinds(): Promise<void> {
    for (let seed = 1; seed <= 12; seed += 1) {
      await new Promise(setImmediate);
      const seeded = new SeededClass(seed);
      const garbage = new Garbage(seeded, BODIES);
      const simulation = new Simulation({ seed, edges: 1, stormMs: 0, troubles: [] });
      const { agenda } = simulation;
      simulation.start();
      agenda.runUntil(12_000);
      const statuses = new Set<number>();
      function told(status: number): void { statuses.add(status); }
      for (let count = 0; count < 300; count += 1) {
        const leader = simulation.leader() ?? simulation.minds[0];
        const verb = seeded.pick(['table', 'cell', 'rows', 'zone', 'swap', 'edit', 'read', 'live', 'nonsense']) ?? '';
        // A sound swap would be obeyed; everything else is turned away or done, and nobody falls over it.
        leader?.command(verb, verb === 'swap' ? '{"id":"s","old":"nobody","new":"x"}' : garbage.text(), told);
        agenda.runUntil(agenda.now + 20);
      }
      agenda.runUntil(agenda.now + 5000);
      expect(simulation.leader()).toBeDefined();
      expect(simulation.areFlowsFresh()).toBe(true);
      for (const status of statuses) expect([200, 400, 404, 409, 422, 503, 504]).toContain(status);
    }
  }
  test('proxies and links outlive anything they are told', checkProxy, 600_000);
  test('control nodes outlive any command, and go on serving', checkMinds, 600_000);
}
