import { array, string, type } from 'superstruct';
import { later, moment, type Moment } from '../kin/Ids.js';
import { parseAs } from '../kin/Json.js';
import type { HaveMessage, Message } from '../kin/Messages.js';
import { compareVersions, NO_VERSION, type Version } from '../kin/Version.js';
import { Relay } from '../news/Relay.js';
import { Vouching } from '../news/Vouching.js';

export interface LinkSettings { readonly me: string; readonly zone: string; readonly seeds: readonly string[]; readonly blindMs: number; readonly life: number }

export type LinkEffect =
  | { readonly do: 'send'; readonly to: string; readonly message: Message }
  | { readonly do: 'note'; readonly text: string; readonly fields: Readonly<Record<string, string | number>> };

interface FlowState { acked: Version; goneAt: Moment | undefined }

/** By how much of itself a clock may be fast or slow: a proxy gone from here may work on a slower one. */
const CLOCK_DRIFT = 0.01;
const VotersShape = type({ voters: array(array(string())) });
const JOIN_MS = 400;
const MIND_SILENT_MS = 900;
const PARENT_SILENT_MS = 350;

/** The agent beside a proxy: a session to one mind, a place in the relay tree, and news for the proxy. */
export class LinkCore {
  readonly #settings: LinkSettings;
  readonly #relay = new Relay();
  readonly #vouching: Vouching;
  readonly #flows = new Map<string, FlowState>();
  #minds: readonly string[];
  #mindIndex: number;
  #mindHeardAt: Moment;
  #joinedAt: Moment;
  #parent = '';
  #lostParent = '';
  #askedAt: Moment | undefined;
  #toldAck: Version = NO_VERSION;
  #effects: LinkEffect[] = [];
  #turns = 0;

  constructor(settings: LinkSettings, now: Moment) {
    this.#settings = settings;
    this.#vouching = new Vouching(settings.life);
    this.#minds = settings.seeds;
    // Links begin at different minds, so that no mind feeds them all.
    this.#mindIndex = hashOf(settings.me) % settings.seeds.length;
    this.#mindHeardAt = now;
    this.#joinedAt = moment(now - JOIN_MS);
    // A proxy may still be fresh by what it was vouched for through our former life: one such counts until it is surely blind.
    this.#flows.set('', { acked: NO_VERSION, goneAt: now });
  }

  get relay(): Relay { return this.#relay; }
  get mind(): string { return this.#minds[this.#mindIndex % this.#minds.length] ?? ''; }
  get parent(): string { return this.#parent; }
  /** How often the session moved to another mind. */
  get turns(): number { return this.#turns; }

  drain(): LinkEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  beat(now: Moment): void {
    if (now - this.#mindHeardAt > MIND_SILENT_MS) this.#turn(now);
    // A parent that does not return our asks is left at once; the mind hangs us elsewhere.
    if (this.#parent !== '' && this.#askedAt !== undefined && now - this.#askedAt > PARENT_SILENT_MS) this.#leaveParent(now);
    if (now >= later(this.#joinedAt, JOIN_MS)) this.#join(now);
    for (const [id, flow] of this.#flows) if (flow.goneAt !== undefined && now - flow.goneAt > this.#settings.blindMs * (1 + 2 * CLOCK_DRIFT)) this.#flows.delete(id);
    this.#tellAck();
    this.#ask(now);
    this.#flush();
  }

  receive(now: Moment, from: string, role: string, message: Message): void {
    switch (message.kind) {
      case 'hang':
        if (from !== this.mind) break;
        this.#mindHeardAt = now;
        if (message.parent !== this.#parent && message.parent !== this.#lostParent) this.#hang(now, message.parent);
        break;
      case 'news':
        if (this.#relay.offer(message.topic, { epoch: message.epoch, count: message.count }, message.body) && message.topic === 'config') this.#followVoters(message.body);
        break;
      case 'ask':
        if (role === 'flow' && this.#flows.get(from)?.goneAt !== undefined) this.#flows.delete(from);
        if (role === 'flow' && !this.#flows.has(from)) this.#flows.set(from, { acked: NO_VERSION, goneAt: undefined });
        this.#relay.heard(from, message.have);
        // A control node that lost what it held asks for news alone.
        if (message.nonce < 0) { this.#flush(); this.#relay.removeChild(from); break; }
        this.#noteFlow(from, message.have);
        this.#vouching.add({ child: from, nonce: message.nonce, members: message.members });
        this.#ask(now);
        break;
      case 'vouch':
        if (from !== this.#upstream()) break;
        this.#askedAt = undefined;
        for (const ask of this.#vouching.end(message.nonce)) this.#send(ask.child, { ...message, nonce: ask.nonce });
        this.#ask(now);
        break;
      case 'ack': {
        const flow = this.#flows.get(from);
        if (flow) flow.acked = { epoch: message.epoch, count: message.count };
        this.#tellAck();
        break;
      }
      case 'demand': this.#send(this.mind, message); break;
      default: break;
    }
    this.#flush();
  }

  /** What a proxy holds is in force there: it applies news as it takes it. */
  #noteFlow(from: string, have: readonly HaveMessage[]): void {
    const flow = this.#flows.get(from);
    const config = have.find(isConfig);
    if (flow && config) flow.acked = { epoch: config.epoch, count: config.count };
  }

  gone(now: Moment, from: string): void {
    this.#relay.removeChild(from);
    const flow = this.#flows.get(from);
    // It may still be fresh by what it was vouched for: it counts until it has surely gone blind.
    if (flow) flow.goneAt = now;
    if (from === this.#parent) this.#leaveParent(now);
    if (from === this.mind) this.#turn(now);
    this.#flush();
  }

  #send(to: string, message: Message): void { this.#effects.push({ do: 'send', to, message }); }

  #upstream(): string { return this.#parent === '' ? this.mind : this.#parent; }

  #turn(now: Moment): void {
    this.#mindIndex = (this.#mindIndex + 1) % this.#minds.length;
    this.#turns += 1;
    this.#mindHeardAt = now;
    this.#hang(now, '');
    this.#effects.push({ do: 'note', text: 'session', fields: { mind: this.mind } });
    this.#join(now);
  }

  #leaveParent(now: Moment): void {
    this.#lostParent = this.#parent;
    this.#hang(now, '');
    this.#join(now);
  }

  #hang(now: Moment, parent: string): void {
    this.#parent = parent;
    this.#askedAt = undefined;
    const asks = this.#vouching.takeAll();
    // Those who wait below are asked for anew at the new place.
    for (const ask of asks) this.#vouching.add(ask);
    this.#ask(now);
  }

  #join(now: Moment): void {
    this.#joinedAt = now;
    const version = this.#acked();
    this.#send(this.mind, { kind: 'join', zone: this.#settings.zone, address: this.#settings.me, epoch: version.epoch, count: version.count, lost: this.#lostParent });
    this.#lostParent = '';
  }

  #ask(now: Moment): void {
    const nonce = this.#vouching.begin(now);
    if (nonce === undefined) return;
    this.#askedAt ??= now;
    // Whoever is vouched for through us is named, whether its own session stands or not: a yes must wait for it.
    this.#send(this.#upstream(), { kind: 'ask', nonce, have: this.#relay.have(), members: [this.#settings.me, ...this.#vouching.members()] });
  }

  /** The newest configuration by which every proxy here works; one lost a while ago works by none. */
  #acked(): Version {
    let least = this.#relay.version('config');
    for (const flow of this.#flows.values()) if (compareVersions(flow.acked, least) < 0) least = flow.acked;
    return least;
  }

  #tellAck(): void {
    const version = this.#acked();
    if (compareVersions(version, this.#toldAck) === 0) return;
    this.#toldAck = version;
    this.#send(this.mind, { kind: 'ack', ...version });
  }

  #flush(): void {
    for (const send of this.#relay.flush()) this.#send(send.to, send.message);
  }

  #followVoters(body: string): void {
    const news = parseAs(VotersShape, body);
    const voters = new Set<string>();
    for (const set of news?.voters ?? []) for (const id of set) voters.add(id);
    if (voters.size === 0) return;
    const current = this.mind;
    this.#minds = [...voters];
    const index = this.#minds.indexOf(current);
    this.#mindIndex = index < 0 ? hashOf(this.#settings.me) % this.#minds.length : index;
  }
}

function isConfig(item: HaveMessage): boolean { return item.topic === 'config'; }

function hashOf(text: string): number {
  let hash = 7;
  for (let index = 0; index < text.length; index += 1) hash = (hash * 31 + text.charCodeAt(index)) >>> 0;
  return hash;
}

if (import.meta.vitest) {
  const { test, expect } = import.meta.vitest;
  const seeds = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'];
  function acks(core: LinkCore): Version[] {
    const list: Version[] = [];
    for (const effect of core.drain()) if (effect.do === 'send' && (effect.message.kind === 'ack' || effect.message.kind === 'join')) list.push({ epoch: effect.message.epoch, count: effect.message.count });
    return list;
  }
  function checkRestart(): void {
    // Killed and started anew: the proxy beside it may still be fresh by what it was vouched for through our former life.
    const core = new LinkCore({ me: '10.0.1.1:1', zone: 'z', seeds, blindMs: 2500, life: 0 }, moment(0));
    core.receive(moment(10), core.mind, 'mind', { kind: 'news', topic: 'config', epoch: 2, count: 7, body: '{"voters":[]}' });
    core.beat(moment(20));
    for (const version of acks(core)) expect(version).toEqual(NO_VERSION);
    core.receive(moment(30), core.mind, 'mind', { kind: 'hang', parent: '' });
    core.beat(moment(2600));
    expect(acks(core)).toContainEqual({ epoch: 2, count: 7 });
  }
  function checkParentSilent(): void {
    const core = new LinkCore({ me: '10.0.1.1:1', zone: 'z', seeds, blindMs: 2500, life: 0 }, moment(0));
    core.receive(moment(0), core.mind, 'mind', { kind: 'hang', parent: '10.0.1.9:1' });
    core.receive(moment(10), 'flow@1', 'flow', { kind: 'ask', nonce: 5, have: [], members: [] });
    expect(core.drain()).toContainEqual({ do: 'send', to: '10.0.1.9:1', message: { kind: 'ask', nonce: 1, have: [], members: ['10.0.1.1:1'] } });
    core.beat(moment(370));
    // The parent returned nothing: the ask goes to the mind, and the mind is told who could not be reached.
    const sends = core.drain();
    expect(sends).toContainEqual({ do: 'send', to: core.mind, message: { kind: 'ask', nonce: 2, have: [], members: ['10.0.1.1:1'] } });
    expect(sends.some(tellsLost)).toBe(true);
    core.receive(moment(380), core.mind, 'mind', { kind: 'vouch', nonce: 2, epoch: 0, count: 0, marks: 0 });
    expect(core.drain()).toContainEqual({ do: 'send', to: 'flow@1', message: { kind: 'vouch', nonce: 5, epoch: 0, count: 0, marks: 0 } });
  }
  function checkNames(): void {
    const core = new LinkCore({ me: '10.0.1.1:1', zone: 'z', seeds, blindMs: 2500, life: 0 }, moment(0));
    core.receive(moment(10), '10.0.1.2:1', 'link', { kind: 'ask', nonce: 3, have: [], members: ['10.0.1.2:1', '10.0.1.3:1'] });
    expect(core.drain()).toContainEqual({ do: 'send', to: core.mind, message: { kind: 'ask', nonce: 1, have: [], members: ['10.0.1.1:1', '10.0.1.2:1', '10.0.1.3:1'] } });
  }
  function tellsLost(effect: LinkEffect): boolean {
    return effect.do === 'send' && effect.message.kind === 'join' && effect.message.lost === '10.0.1.9:1';
  }
  test('a link started anew vouches for no proxy until it has surely gone blind', checkRestart);
  test('an ask names everybody below who will be fresh by it', checkNames);
  test('a silent parent is left within half a second and its asks go to the mind', checkParentSilent);
}
