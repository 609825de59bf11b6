import { array, string, type } from 'superstruct';
import { later, moment, type Moment } from '../common/Ids.js';
import { parseAs } from '../common/Json.js';
import type { HaveMessage, Message } from '../common/Messages.js';
import { compareVersions, NO_VERSION, type Version } from '../common/Version.js';
import { Relay } from '../dissemination/Relay.js';
import { Vouching } from '../dissemination/FreshnessConfirmation.js';

export interface LinkSettings {
  readonly me: string;
  readonly zone: string;
  readonly seeds: readonly string[];
  readonly blindMs: number;
  readonly life: number;
  /** In a deployment of its own the proxy does not work by being vouched for: asks are for news alone, and minds of our zone come first. */
  readonly isDeployed?: boolean;
}

export type LinkEffect =
  | { readonly do: 'send'; readonly to: string; readonly message: Message }
  | {
      readonly do: 'note';
      readonly text: string;
      readonly fields: Readonly<Record<string, string | number>>;
    };

interface FlowState {
  acked: Version;
  goneAt: Moment | undefined;
}

/** By how much of itself a clock may be fast or slow: a proxy gone from here may work on a slower one. */
const CLOCK_DRIFT = 0.01;
const VotersShape = type({ voters: array(array(string())) });
const JOIN_MS = 400;
const MIND_SILENT_MS = 900;
const PARENT_SILENT_MS = 350;
/** The same in a deployment, where every wake-up has its price and a closed line tells of most losses. */
const DEPLOYED = {
  joinMs: 1000,
  mindSilentMs: 2500,
  parentSilentMs: 1000,
  askMs: 1000,
  crossMs: 700,
} as const;
/** Who hangs under us asks at least once a second; one that has not for so long hangs elsewhere by now, and is fed there. */
const CHILD_SILENT_MS = 3500;
/** A mind that failed us is not chosen again so soon, where there is another. */
const SHUN_MS = 3000;

/** The agent beside a proxy: a session to one mind, a place in the relay tree, and news for the proxy. */
export class LinkCore {
  readonly #settings: LinkSettings;
  readonly #relay = new Relay();
  readonly #vouching: Vouching;
  readonly #flows = new Map<string, FlowState>();
  /** When each of those that we feed asked last. */
  readonly #children = new Map<string, Moment>();
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
  #seeds: readonly string[];
  readonly #zones = new Map<string, string>();
  readonly #shunned = new Map<string, Moment>();
  /** How often in a row our mind said that it follows nobody. */
  #leaderless = 0;
  #newsAskedAt: Moment;
  #crossAskedAt: Moment;
  #crossIndex = 0;

  constructor(settings: LinkSettings, now: Moment) {
    this.#settings = settings;
    this.#vouching = new Vouching(settings.life);
    this.#minds = settings.seeds;
    this.#seeds = settings.seeds;
    this.#newsAskedAt = now;
    this.#crossAskedAt = now;
    // Links begin at different minds, so that no mind feeds them all.
    this.#mindIndex = hashOf(settings.me) % settings.seeds.length;
    this.#mindHeardAt = now;
    this.#joinedAt = moment(now - JOIN_MS);
    // A proxy may still be fresh by what it was vouched for through our former life: one such counts until it is surely blind.
    this.#flows.set('', { acked: NO_VERSION, goneAt: now });
  }

  /** Whom the settings name now: they are turned to where no voter that we know answers. */
  setSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
    const current = this.mind;
    this.#minds = [...new Set([...this.#minds, ...seeds])];
    this.#mindIndex = Math.max(0, this.#minds.indexOf(current));
  }

  get relay(): Relay {
    return this.#relay;
  }
  get mind(): string {
    return this.#minds[this.#mindIndex % this.#minds.length] ?? '';
  }
  get parent(): string {
    return this.#parent;
  }
  /** How often the session moved to another mind. */
  get turns(): number {
    return this.#turns;
  }

  drain(): LinkEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  beat(now: Moment): void {
    const { isDeployed } = this.#settings;
    if (now - this.#mindHeardAt > (isDeployed ? DEPLOYED.mindSilentMs : MIND_SILENT_MS))
      this.#turn(now);
    // A parent that does not return our asks is left at once; the mind hangs us elsewhere.
    if (
      this.#parent !== '' &&
      this.#askedAt !== undefined &&
      now - this.#askedAt > (isDeployed ? DEPLOYED.parentSilentMs : PARENT_SILENT_MS)
    )
      this.#leaveParent(now);
    if (now >= later(this.#joinedAt, isDeployed ? DEPLOYED.joinMs : JOIN_MS)) this.#join(now);
    for (const [id, flow] of this.#flows)
      if (
        flow.goneAt !== undefined &&
        now - flow.goneAt > this.#settings.blindMs * (1 + 2 * CLOCK_DRIFT)
      )
        this.#flows.delete(id);
    for (const [child, at] of this.#children) if (now - at > CHILD_SILENT_MS) this.#forget(child);
    this.#tellAck();
    if (isDeployed) {
      this.#askNews(now);
      this.#askAcross(now);
    } else this.#ask(now);
    this.#flush();
  }

  receive(now: Moment, from: string, role: string, message: Message): void {
    switch (message.kind) {
      case 'hang':
        if (from !== this.mind) break;
        this.#mindHeardAt = now;
        if (message.parent !== this.#parent && message.parent !== this.#lostParent)
          this.#hang(now, message.parent);
        break;
      case 'news':
        if (
          this.#relay.offer(
            message.topic,
            { epoch: message.epoch, count: message.count },
            message.body,
          ) &&
          message.topic === 'config'
        )
          this.#followVoters(message.body);
        break;
      case 'delta': {
        const version = { epoch: message.epoch, count: message.count };
        if (this.#relay.offerDelta(message.topic, version, message.from, message.body)) break;
        // It does not follow on what we hold: what came between was lost on the way.
        if (compareVersions(version, this.#relay.version(message.topic)) > 0)
          this.#send(from, { kind: 'ask', nonce: -1, have: this.#relay.have(), members: [] });
        break;
      }
      case 'ask':
        if (role === 'flow' && this.#flows.get(from)?.goneAt !== undefined)
          this.#flows.delete(from);
        if (role === 'flow' && !this.#flows.has(from))
          this.#flows.set(from, { acked: NO_VERSION, goneAt: undefined });
        this.#relay.heard(from, message.have);
        // A control node that lost what it held asks for news alone.
        if (message.nonce < 0) {
          this.#flush();
          this.#forget(from);
          break;
        }
        this.#children.set(from, now);
        this.#noteFlow(from, message.have);
        if (this.#settings.isDeployed) {
          this.#send(from, {
            kind: 'vouch',
            nonce: message.nonce,
            ...this.#relay.version('config'),
            marks: 0,
          });
          break;
        }
        this.#vouching.add({ child: from, nonce: message.nonce, members: message.members });
        this.#ask(now);
        break;
      case 'vouch':
        if (from !== this.#upstream()) break;
        this.#askedAt = undefined;
        if (this.#settings.isDeployed) break;
        for (const ask of this.#vouching.end(message.nonce))
          this.#send(ask.child, { ...message, nonce: ask.nonce });
        this.#ask(now);
        break;
      case 'ack': {
        const flow = this.#flows.get(from);
        if (flow) flow.acked = { epoch: message.epoch, count: message.count };
        this.#tellAck();
        break;
      }
      case 'minds':
        if (from === this.mind) this.#receiveMinds(now, message);
        break;
      case 'demand':
        this.#send(this.mind, message);
        break;
      default:
        break;
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
    this.#forget(from);
    const flow = this.#flows.get(from);
    // It may still be fresh by what it was vouched for: it counts until it has surely gone blind.
    if (flow) flow.goneAt = now;
    if (from === this.#parent) this.#leaveParent(now);
    if (from === this.mind) this.#turn(now);
    else if (this.#zones.get(from) === this.#settings.zone)
      this.#shunned.set(from, later(now, SHUN_MS));
    this.#flush();
  }

  #forget(child: string): void {
    this.#children.delete(child);
    this.#relay.removeChild(child);
  }

  #send(to: string, message: Message): void {
    this.#effects.push({ do: 'send', to, message });
  }

  #upstream(): string {
    return this.#parent === '' ? this.mind : this.#parent;
  }

  #turn(now: Moment): void {
    this.#shunned.set(this.mind, later(now, SHUN_MS));
    this.#move(now, this.#nextMind(now));
  }

  #move(now: Moment, index: number): void {
    this.#mindIndex = index;
    this.#leaderless = 0;
    this.#turns += 1;
    this.#mindHeardAt = now;
    this.#hang(now, '');
    this.#effects.push({ do: 'note', text: 'session', fields: { mind: this.mind } });
    this.#join(now);
  }

  /** In turn, in a deployment those of our zone first and those that lately failed us last. */
  #nextMind(now: Moment): number {
    const count = this.#minds.length;
    let best = (this.#mindIndex + 1) % count;
    if (!this.#settings.isDeployed) return best;
    let least = Infinity;
    for (let step = 1; step <= count; step += 1) {
      const index = (this.#mindIndex + step) % count;
      const id = this.#minds[index] ?? '';
      const rank =
        (this.#isShunned(now, id) ? 2 : 0) + (this.#zones.get(id) === this.#settings.zone ? 0 : 1);
      if (rank < least) {
        least = rank;
        best = index;
      }
    }
    return best;
  }

  #isShunned(now: Moment, id: string): boolean {
    return now < (this.#shunned.get(id) ?? now);
  }

  #receiveMinds(now: Moment, message: Extract<Message, { kind: 'minds' }>): void {
    this.#mindHeardAt = now;
    this.#zones.clear();
    for (const { id, zone } of message.minds) this.#zones.set(id, zone);
    // One that follows nobody may be cut off from the others, and then hears nothing new.
    this.#leaderless = message.leader === '' ? this.#leaderless + 1 : 0;
    if (this.#leaderless > 1) {
      this.#turn(now);
      return;
    }
    const mine = this.#settings.zone;
    const closer = this.#minds.findIndex(
      isCloser.bind(undefined, this.#zones, mine, this.#isShunned.bind(this, now)),
    );
    // Bytes that stay in the zone cost nothing.
    if (this.#zones.get(this.mind) !== mine && closer >= 0) {
      this.#move(now, closer);
      return;
    }
    // Our parent may have lost what comes from above without knowing it.
    const version = { epoch: message.epoch, count: message.count };
    if (compareVersions(version, this.#relay.version('config')) > 0)
      this.#send(this.mind, { kind: 'ask', nonce: -1, have: this.#relay.have(), members: [] });
  }

  #askNews(now: Moment): void {
    if (now < later(this.#newsAskedAt, DEPLOYED.askMs)) return;
    this.#newsAskedAt = now;
    this.#askedAt ??= now;
    this.#send(this.#upstream(), { kind: 'ask', nonce: 0, have: this.#relay.have(), members: [] });
  }

  /**
   * Our mind, and all above us, may be cut off from the others without knowing it yet. What a majority accepted since is
   * in force here all the same once one of the others tells it.
   */
  #askAcross(now: Moment): void {
    if (now < later(this.#crossAskedAt, DEPLOYED.crossMs)) return;
    this.#crossAskedAt = now;
    const others = this.#minds.filter(isOther.bind(undefined, this.mind));
    this.#crossIndex += 1;
    const other = others[this.#crossIndex % Math.max(1, others.length)];
    if (other !== undefined)
      this.#send(other, { kind: 'ask', nonce: -1, have: this.#relay.have(), members: [] });
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
    if (this.#settings.isDeployed) {
      this.#newsAskedAt = moment(now - DEPLOYED.askMs);
      this.#askNews(now);
      return;
    }
    // Those who wait below are asked for anew at the new place.
    for (const ask of asks) this.#vouching.add(ask);
    this.#ask(now);
  }

  #join(now: Moment): void {
    this.#joinedAt = now;
    const version = this.#acked();
    this.#send(this.mind, {
      kind: 'join',
      zone: this.#settings.zone,
      address: this.#settings.me,
      epoch: version.epoch,
      count: version.count,
      lost: this.#lostParent,
    });
    this.#lostParent = '';
  }

  #ask(now: Moment): void {
    if (this.#settings.isDeployed) return;
    const nonce = this.#vouching.begin(now);
    if (nonce === undefined) return;
    this.#askedAt ??= now;
    // Whoever is vouched for through us is named, whether its own session stands or not: a yes must wait for it.
    this.#send(this.#upstream(), {
      kind: 'ask',
      nonce,
      have: this.#relay.have(),
      members: [this.#settings.me, ...this.#vouching.members()],
    });
  }

  /** The newest configuration by which every proxy here works; one lost a while ago works by none. */
  #acked(): Version {
    let least = this.#relay.version('config');
    for (const flow of this.#flows.values())
      if (compareVersions(flow.acked, least) < 0) least = flow.acked;
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
    // The voters come first; seeds that are none are kept for when no voter answers.
    this.#minds = this.#settings.isDeployed
      ? [...new Set([...voters, ...this.#seeds])]
      : [...voters];
    const index = this.#minds.indexOf(current);
    this.#mindIndex = index < 0 ? hashOf(this.#settings.me) % this.#minds.length : index;
  }
}

function isCloser(
  zones: ReadonlyMap<string, string>,
  mine: string,
  isShunned: (id: string) => boolean,
  id: string,
): boolean {
  return zones.get(id) === mine && !isShunned(id);
}

function isOther(id: string, other: string): boolean {
  return other !== id;
}
function isConfig(item: HaveMessage): boolean {
  return item.topic === 'config';
}

function hashOf(text: string): number {
  let hash = 7;
  for (let index = 0; index < text.length; index += 1)
    hash = (hash * 31 + text.charCodeAt(index)) >>> 0;
  return hash;
}
