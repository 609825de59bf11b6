import { array, string, type } from 'superstruct';
import { later, moment, type Moment } from '../common/ids.js';
import { parseAs } from '../common/json.js';
import type { KnownVersion, Message } from '../common/messages.js';
import { compareVersions, NO_VERSION, versionsBetween, type Version } from '../common/version.js';
import { Relay } from '../dissemination/relay.js';
import { FreshnessConfirmation } from '../dissemination/freshness-confirmation.js';
import { DrainingRunnerIds } from '../dissemination/draining-runner-ids.js';
import type { AgentMetrics } from './agent-metrics.js';

export interface AgentSettings {
  readonly me: string;
  readonly zone: string;
  readonly seeds: readonly string[];
  readonly freshnessBoundMs: number;
  readonly incarnation: number;
  /** In a deployment of its own the proxy does not work by being confirmed fresh: asks are for news alone, and control nodes of our zone come first. */
  readonly isDeployed?: boolean;
}

export type AgentEffect =
  | { readonly do: 'send'; readonly to: string; readonly message: Message }
  | {
      readonly do: 'note';
      readonly text: string;
      readonly fields: Readonly<Record<string, string | number>>;
    };

interface ProxyState {
  acked: Version;
  goneAt: Moment | undefined;
}

/** By how much of itself a clock may be fast or slow: a proxy gone from here may work on a slower one. */
const CLOCK_DRIFT = 0.01;
const VotersShape = type({ voters: array(array(string())) });
const JOIN_MS = 400;
const CONTROL_SILENT_MS = 900;
const PARENT_SILENT_MS = 350;
/** The same in a deployment, where every wake-up has its price and a closed line tells of most losses. */
const DEPLOYED = {
  joinMs: 1000,
  controlSilentMs: 2500,
  parentSilentMs: 1000,
  askMs: 1000,
  crossMs: 700,
  /** The same while a control node that we moved to has not answered yet: it may be down as well. */
  movedCrossMs: 350,
} as const;
/** Who hangs under us asks at least once a second; one that has not for so long hangs elsewhere by now, and is fed there. */
const CHILD_SILENT_MS = 3500;
/** A control node that failed us is not chosen again so soon, where there is another. */
const SHUN_MS = 3000;

/** The agent beside a proxy: a session to one control node, a place in the relay tree, and news for the proxy. */
export class AgentCore {
  readonly #settings: AgentSettings;
  readonly #relay = new Relay();
  readonly #leaving = new DrainingRunnerIds();
  readonly #confirmation: FreshnessConfirmation;
  readonly #proxies = new Map<string, ProxyState>();
  /** When each of those that we feed asked last. */
  readonly #children = new Map<string, Moment>();
  #controlNodes: readonly string[];
  #controlIndex: number;
  #controlHeardAt: Moment;
  #joinedAt: Moment;
  #parent = '';
  #lostParent = '';
  #askedAt: Moment | undefined;
  #toldAck: Version = NO_VERSION;
  #effects: AgentEffect[] = [];
  #turns = 0;
  #seeds: readonly string[];
  readonly #zones = new Map<string, string>();
  readonly #shunned = new Map<string, Moment>();
  /** How often in a row our control node said that it follows nobody. */
  #leaderless = 0;
  /** When a control node that we had our session with answered last. */
  #answeredAt: Moment | undefined;
  /** Whether our session moved to a control node that has not answered yet. */
  #isMoving = false;
  /** Whether the control node that told last whom it follows named nobody. */
  #isLeaderless = false;
  /** The newest configuration that a control node said it holds. */
  #toldConfig: Version = NO_VERSION;
  #behindSince: Moment | undefined;
  #newsAskedAt: Moment;
  #crossAskedAt: Moment;
  #crossIndex = 0;

  constructor(settings: AgentSettings, now: Moment) {
    this.#settings = settings;
    this.#confirmation = new FreshnessConfirmation(settings.incarnation);
    this.#controlNodes = settings.seeds;
    this.#seeds = settings.seeds;
    this.#newsAskedAt = now;
    this.#crossAskedAt = now;
    // Links begin at different control nodes, so that no control node feeds them all.
    this.#controlIndex = hashOf(settings.me) % settings.seeds.length;
    this.#controlHeardAt = now;
    this.#joinedAt = moment(now - JOIN_MS);
    // A proxy may still be fresh by what it was confirmed fresh through our former incarnation: one such counts until it is surely blind.
    this.#proxies.set('', { acked: NO_VERSION, goneAt: now });
  }

  /** Whom the settings name now: they are turned to where no voter that we know answers. */
  setSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
    const current = this.controlNode;
    this.#controlNodes = [...new Set([...this.#controlNodes, ...seeds])];
    this.#controlIndex = Math.max(0, this.#controlNodes.indexOf(current));
  }

  get relay(): Relay {
    return this.#relay;
  }
  get controlNode(): string {
    return this.#controlNodes[this.#controlIndex % this.#controlNodes.length] ?? '';
  }
  get parent(): string {
    return this.#parent;
  }
  /** How often the session moved to another control node. */
  get sessionMoves(): number {
    return this.#turns;
  }

  /** One look at this agent, for its metrics; nothing changes by it. */
  metrics(now: Moment): AgentMetrics {
    const config = this.#relay.version('config');
    const versionsBehind = versionsBetween(config, this.#toldConfig);
    const behindSince = versionsBehind > 0 ? this.#behindSince : undefined;
    return {
      controlNode: this.controlNode,
      // A session that moves is not lost: it is once nobody answers.
      hasSession:
        this.#answeredAt !== undefined && now - this.#answeredAt <= this.#controlSilentMs(),
      sessionHeardAgeMs: this.#answeredAt === undefined ? undefined : now - this.#answeredAt,
      sessionMoves: this.#turns,
      isLeaderless: this.#isLeaderless,
      isUnderAgent: this.#parent !== '',
      proxies: [...this.#proxies.values()].filter(isPresent).length,
      configEpoch: config.epoch,
      configCount: config.count,
      versionsBehind,
      behindMs: behindSince === undefined ? 0 : now - behindSince,
    };
  }

  drain(): AgentEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  tick(now: Moment): void {
    const { isDeployed } = this.#settings;
    if (now - this.#controlHeardAt > this.#controlSilentMs()) this.#turn(now);
    // A parent that does not return our asks is left at once; the control node hangs us elsewhere.
    if (
      this.#parent !== '' &&
      this.#askedAt !== undefined &&
      now - this.#askedAt > (isDeployed ? DEPLOYED.parentSilentMs : PARENT_SILENT_MS)
    )
      this.#leaveParent(now);
    if (now >= later(this.#joinedAt, isDeployed ? DEPLOYED.joinMs : JOIN_MS)) this.#join(now);
    for (const [id, proxy] of this.#proxies)
      if (
        proxy.goneAt !== undefined &&
        now - proxy.goneAt > this.#settings.freshnessBoundMs * (1 + 2 * CLOCK_DRIFT)
      )
        this.#proxies.delete(id);
    for (const [child, at] of this.#children) if (now - at > CHILD_SILENT_MS) this.#forget(child);
    this.#leaving.tick(now);
    this.#tellAck();
    if (isDeployed) {
      this.#askNews(now);
      this.#askAcross(now);
    } else this.#ask(now);
    this.#flush();
  }

  onMessage(now: Moment, from: string, role: string, message: Message): void {
    switch (message.kind) {
      case 'assignParent':
        if (from !== this.controlNode) break;
        this.#noteAnswer(now);
        if (message.parent !== this.#parent && message.parent !== this.#lostParent)
          this.#assignParent(now, message.parent);
        break;
      case 'update':
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
          this.#askForNews(from);
        break;
      }
      case 'leaving':
        this.#takeLeaving(now, message.runners);
        break;
      case 'freshnessRequest':
        this.#tellLacked(from, message.have);
        if (role === 'flow' && this.#proxies.get(from)?.goneAt !== undefined)
          this.#proxies.delete(from);
        if (role === 'flow' && !this.#proxies.has(from))
          this.#proxies.set(from, { acked: NO_VERSION, goneAt: undefined });
        this.#relay.onKnownVersions(from, message.have);
        // A control node that lost what it held asks for news alone.
        if (message.nonce < 0) {
          this.#flush();
          this.#forget(from);
          break;
        }
        this.#children.set(from, now);
        this.#noteProxy(from, message.have);
        if (this.#settings.isDeployed) {
          this.#send(from, {
            kind: 'freshnessReply',
            nonce: message.nonce,
            ...this.#relay.version('config'),
            marks: 0,
          });
          break;
        }
        this.#confirmation.enqueue({ child: from, nonce: message.nonce, members: message.members });
        this.#ask(now);
        break;
      case 'freshnessReply':
        if (from !== this.#upstream()) break;
        this.#askedAt = undefined;
        if (this.#settings.isDeployed) break;
        for (const ask of this.#confirmation.complete(message.nonce))
          this.#send(ask.child, { ...message, nonce: ask.nonce });
        this.#ask(now);
        break;
      case 'ack': {
        const proxy = this.#proxies.get(from);
        if (proxy) proxy.acked = { epoch: message.epoch, count: message.count };
        this.#tellAck();
        break;
      }
      case 'controlNodes':
        if (from === this.controlNode) this.#receiveControlNodes(now, message);
        break;
      case 'demand':
        this.#send(this.controlNode, message);
        break;
      default:
        break;
    }
    this.#flush();
  }

  /** True whoever tells it; only what is new here goes on to those below. */
  #takeLeaving(now: Moment, runners: readonly string[]): void {
    const fresh = this.#leaving.add(now, runners);
    if (fresh.length === 0) return;
    for (const child of this.#children.keys())
      this.#send(child, { kind: 'leaving', runners: [...fresh] });
  }

  /** Leaving runners that one below has not heard of, since a line dropped them or it came later. */
  #tellLacked(to: string, have: readonly KnownVersion[]): void {
    const runners = this.#leaving.missingFrom(have);
    if (runners.length > 0) this.#send(to, { kind: 'leaving', runners: [...runners] });
  }

  #have(): KnownVersion[] {
    return [...this.#relay.knownVersions(), ...this.#leaving.summary()];
  }

  /** What a proxy holds is in force there: it applies news as it takes it. */
  #noteProxy(from: string, have: readonly KnownVersion[]): void {
    const proxy = this.#proxies.get(from);
    const config = have.find(isConfig);
    if (proxy && config) proxy.acked = { epoch: config.epoch, count: config.count };
  }

  onDisconnect(now: Moment, from: string): void {
    this.#forget(from);
    const proxy = this.#proxies.get(from);
    // It may still be fresh by what it was confirmed fresh: it counts until it has surely gone blind.
    if (proxy) proxy.goneAt = now;
    if (from === this.#parent) this.#leaveParent(now);
    if (from === this.controlNode) this.#turn(now);
    else if (this.#zones.get(from) === this.#settings.zone)
      this.#shunned.set(from, later(now, SHUN_MS));
    this.#flush();
  }

  #controlSilentMs(): number {
    return this.#settings.isDeployed ? DEPLOYED.controlSilentMs : CONTROL_SILENT_MS;
  }

  #noteAnswer(now: Moment): void {
    this.#controlHeardAt = now;
    this.#answeredAt = now;
    this.#isMoving = false;
  }

  /** Our control node told which configuration it holds; whether we lack it is judged by the newest told so far. */
  #noteTold(now: Moment, { epoch, count }: Version): void {
    const held = this.#relay.version('config');
    const wasBehind = versionsBetween(held, this.#toldConfig) > 0;
    if (compareVersions({ epoch, count }, this.#toldConfig) > 0)
      this.#toldConfig = { epoch, count };
    if (!wasBehind) this.#behindSince = now;
  }

  #forget(child: string): void {
    this.#children.delete(child);
    this.#relay.removeChild(child);
  }

  #send(to: string, message: Message): void {
    this.#effects.push({ do: 'send', to, message });
  }

  #upstream(): string {
    return this.#parent === '' ? this.controlNode : this.#parent;
  }

  #turn(now: Moment): void {
    this.#shunned.set(this.controlNode, later(now, SHUN_MS));
    this.#move(now, this.#nextControl(now));
  }

  #move(now: Moment, index: number): void {
    this.#controlIndex = index;
    this.#leaderless = 0;
    this.#turns += 1;
    this.#isMoving = true;
    this.#controlHeardAt = now;
    this.#assignParent(now, '');
    this.#effects.push({ do: 'note', text: 'session', fields: { controlNode: this.controlNode } });
    this.#join(now);
  }

  /** In turn, in a deployment those of our zone first and those that lately failed us last. */
  #nextControl(now: Moment): number {
    const count = this.#controlNodes.length;
    let best = (this.#controlIndex + 1) % count;
    if (!this.#settings.isDeployed) return best;
    let least = Infinity;
    for (let step = 1; step <= count; step += 1) {
      const index = (this.#controlIndex + step) % count;
      const id = this.#controlNodes[index] ?? '';
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

  #receiveControlNodes(now: Moment, message: Extract<Message, { kind: 'controlNodes' }>): void {
    this.#noteAnswer(now);
    this.#noteTold(now, message);
    this.#zones.clear();
    for (const { id, zone } of message.controlNodes) this.#zones.set(id, zone);
    // One that follows nobody may be cut off from the others, and then hears nothing new.
    this.#isLeaderless = message.leader === '';
    this.#leaderless = this.#isLeaderless ? this.#leaderless + 1 : 0;
    if (this.#leaderless > 1) {
      this.#turn(now);
      return;
    }
    const mine = this.#settings.zone;
    const closer = this.#controlNodes.findIndex(
      isCloser.bind(undefined, this.#zones, mine, (id: string) => this.#isShunned(now, id)),
    );
    // Bytes that stay in the zone cost nothing.
    if (this.#zones.get(this.controlNode) !== mine && closer >= 0) {
      this.#move(now, closer);
      return;
    }
    // Our parent may have lost what comes from above without knowing it.
    const version = { epoch: message.epoch, count: message.count };
    if (compareVersions(version, this.#relay.version('config')) > 0)
      this.#askForNews(this.controlNode);
  }

  #askNews(now: Moment): void {
    if (now < later(this.#newsAskedAt, DEPLOYED.askMs)) return;
    this.#newsAskedAt = now;
    this.#askedAt ??= now;
    this.#send(this.#upstream(), {
      kind: 'freshnessRequest',
      nonce: 0,
      have: this.#have(),
      members: [],
    });
  }

  /**
   * Our control node, and all above us, may be cut off from the others without knowing it yet. What a majority accepted since is
   * in force here all the same once one of the others tells it.
   */
  #askAcross(now: Moment): void {
    const spanMs = this.#isMoving ? DEPLOYED.movedCrossMs : DEPLOYED.crossMs;
    if (now < later(this.#crossAskedAt, spanMs)) return;
    this.#crossAskedAt = now;
    const others = this.#controlNodes.filter((other) => other !== this.controlNode);
    if (this.#isMoving) {
      // Nobody feeds us until some control node answers: whichever is there tells what we lack.
      for (const other of others) this.#askForNews(other);
      return;
    }
    this.#crossIndex += 1;
    const other = others[this.#crossIndex % Math.max(1, others.length)];
    if (other !== undefined) this.#askForNews(other);
  }

  /** For news alone, answered once. */
  #askForNews(to: string): void {
    this.#send(to, { kind: 'freshnessRequest', nonce: -1, have: this.#have(), members: [] });
  }

  #leaveParent(now: Moment): void {
    this.#lostParent = this.#parent;
    this.#assignParent(now, '');
    this.#join(now);
  }

  #assignParent(now: Moment, parent: string): void {
    this.#parent = parent;
    this.#askedAt = undefined;
    const asks = this.#confirmation.abort();
    if (this.#settings.isDeployed) {
      this.#newsAskedAt = moment(now - DEPLOYED.askMs);
      this.#askNews(now);
      return;
    }
    // Those who wait below are asked for anew at the new place.
    for (const ask of asks) this.#confirmation.enqueue(ask);
    this.#ask(now);
  }

  #join(now: Moment): void {
    this.#joinedAt = now;
    const version = this.#acked();
    this.#send(this.controlNode, {
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
    const nonce = this.#confirmation.begin(now);
    if (nonce === undefined) return;
    this.#askedAt ??= now;
    // Whoever is confirmed fresh through us is named, whether its own session stands or not: a yes must wait for it.
    this.#send(this.#upstream(), {
      kind: 'freshnessRequest',
      nonce,
      have: this.#have(),
      members: [this.#settings.me, ...this.#confirmation.members()],
    });
  }

  /** The newest configuration by which every proxy here works; one lost a while ago works by none. */
  #acked(): Version {
    let least = this.#relay.version('config');
    for (const proxy of this.#proxies.values())
      if (compareVersions(proxy.acked, least) < 0) least = proxy.acked;
    return least;
  }

  #tellAck(): void {
    const version = this.#acked();
    if (compareVersions(version, this.#toldAck) === 0) return;
    this.#toldAck = version;
    this.#send(this.controlNode, { kind: 'ack', ...version });
  }

  #flush(): void {
    for (const send of this.#relay.flush()) this.#send(send.to, send.message);
  }

  #followVoters(body: string): void {
    const news = parseAs(VotersShape, body);
    const voters = new Set<string>();
    for (const set of news?.voters ?? []) for (const id of set) voters.add(id);
    if (voters.size === 0) return;
    const current = this.controlNode;
    // The voters come first; seeds that are none are kept for when no voter answers.
    this.#controlNodes = this.#settings.isDeployed
      ? [...new Set([...voters, ...this.#seeds])]
      : [...voters];
    const index = this.#controlNodes.indexOf(current);
    this.#controlIndex = index < 0 ? hashOf(this.#settings.me) % this.#controlNodes.length : index;
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
function isPresent(proxy: ProxyState): boolean {
  return proxy.goneAt === undefined;
}
function isConfig(item: KnownVersion): boolean {
  return item.topic === 'config';
}

function hashOf(text: string): number {
  let hash = 7;
  for (let index = 0; index < text.length; index += 1)
    hash = (hash * 31 + text.charCodeAt(index)) >>> 0;
  return hash;
}
