import {
  epochOf,
  nodeId,
  isElecting,
  later,
  moment,
  nextElecting,
  nextLeading,
  type Epoch,
  type NodeId,
  type Moment,
} from '../common/Ids.js';
import type { Message, ReportMessage } from '../common/Messages.js';
import type { Quorum } from '../common/Quorum.js';
import { Scores } from './Scores.js';
import type { VoteEffect, VoteRecord } from './VoteEffect.js';
import type { VoteSettings } from './VoteSettings.js';

/** Long enough for a proposal to reach the next in turn. */
const TURN_MS = 100;
const NOBODY: VoteRecord = { epoch: 0, grantEpoch: 0, grantLeader: '' };

/** What the elector is doing: waiting for a majority to be in reach, proposing itself, having deferred, or knowing a leader. */
type Role = 'looking' | 'proposing' | 'deferred' | 'won' | 'leading' | 'following';

/**
 * One voter of the election: the design's proposals and deferrals, then our grant and lease on top.
 * Pure: everything it wants done is drained as effects, and it is told the moment with each call.
 */
export class Elector {
  readonly #me: NodeId;
  readonly #settings: VoteSettings;
  #quorum: Quorum;
  readonly #scores: Scores;
  #frozen: Scores;
  #epoch: Epoch;
  #granted: {
    readonly epoch: number;
    readonly leader: string;
    readonly freeAt: Moment;
    readonly isFree: boolean;
  };
  #role: Role = 'looking';
  #mayVote = true;
  #isRetired = false;
  #leader: NodeId | undefined;
  #deferredTo: NodeId | undefined;
  #deferredScores: Scores | undefined;
  #deferrals = new Set<NodeId>();
  #quorumMembers = new Set<NodeId>();
  #limit: Moment = moment(0);
  #heardLeader: Moment = moment(0);

  /** Who granted us this epoch, and until when what each promised to others binds us. */
  readonly #grants = new Map<NodeId, Moment>();
  #orderFrom: Moment = moment(0);
  /** What voters of before said when the voters changed: a former holder may be bound to some of those alone. */
  #notBefore: Moment = moment(0);
  #leaseEnd: Moment = moment(-1);
  #nonce = 0;
  readonly #renewals = new Map<number, { readonly sent: Moment; readonly by: Set<NodeId> }>();
  #renewedAt: Moment = moment(0);
  readonly #promises = new Map<string, Moment>();
  #bootPromise: Moment;
  /** The one to whom alone we may have promised something before we started; nothing where we cannot tell. */
  #bootLeader: string;

  /** When we sent the newest of our pings that each voter returned. */
  readonly #provenAt = new Map<NodeId, Moment>();
  #electionsStarted = 0;
  #votesGranted = 0;

  readonly #pinged = new Map<NodeId, { sent: Moment; heard: Moment; scored: Moment }>();
  #pingedAt: Moment;
  /** Newly booted or repaired, we first listen whether somebody leads: our Propose would only disturb. */
  #listenUntil: Moment;
  /** Voters whose last ping said that they follow nobody. */
  readonly #leaderless = new Set<NodeId>();
  #leaderlessAt: Moment | undefined;

  #effects: VoteEffect[] = [];
  #held: { readonly token: number; readonly run: () => void }[] = [];
  #token = 0;
  #kept = 0;
  #keepSince: Moment = moment(0);

  constructor(
    me: NodeId,
    quorum: Quorum,
    settings: VoteSettings,
    now: Moment,
    record: VoteRecord = NOBODY,
  ) {
    this.#me = me;
    this.#quorum = quorum;
    this.#settings = settings;
    this.#scores = new Scores(me, settings.halfLifeSeconds);
    this.#frozen = this.#scores.freeze();
    this.#epoch = epochOf(record.epoch);
    const isFree = record.isFree === true;
    this.#granted = {
      epoch: record.grantEpoch,
      leader: record.grantLeader,
      freeAt: later(now, (settings.spanMs + settings.leaseMs) * (1 + 5 * settings.drift)),
      isFree,
    };
    // What we promised before a crash is gone from memory: hold as if promised this moment. Where the record says to whom
    // alone, that one is not held up by it: the same holder may go on at once.
    this.#bootLeader = isFree ? record.grantLeader : '';
    this.#bootPromise =
      record.grantEpoch > 0 ? later(now, settings.spanMs) : moment(now - settings.leaseMs);
    this.#pingedAt = moment(now - settings.pingMs);
    this.#listenUntil = record.epoch > 0 ? this.#listenEnd(now) : now;
  }

  get epoch(): Epoch {
    return this.#epoch;
  }
  get role(): Role {
    return this.#role;
  }
  get leader(): NodeId | undefined {
    return this.#leader;
  }
  get quorumMembers(): ReadonlySet<NodeId> {
    return this.#quorumMembers;
  }
  get scores(): Scores {
    return this.#scores;
  }
  get record(): VoteRecord {
    return {
      epoch: this.#epoch,
      grantEpoch: this.#granted.epoch,
      grantLeader: this.#granted.leader,
      isFree: this.#granted.isFree,
    };
  }

  /** Whether a majority has granted us this epoch: we hold the state and may write it, fenced by the epoch. */
  isLeading(): boolean {
    return this.#role === 'leading';
  }

  /** The end of our lease; orders may be under way only before it. */
  get leaseEnd(): Moment {
    return this.#leaseEnd;
  }

  /** Asked right before each order's write. */
  mayOrder(now: Moment): boolean {
    // The voters may be others by now than those that granted: a former holder may be bound to some of these alone.
    const isGranted = this.#quorum.isMajority(new Set(this.#grants.keys()));
    return this.#role === 'leading' && isGranted && now >= this.#orderFrom && now < this.#leaseEnd;
  }

  /**
   * Stops leading and voting for good, as before a planned stop. Only to be called with no order under way:
   * the others then need not wait for our lease, only for the span in which nobody orders.
   */
  retire(now: Moment): void {
    const wasLeading = this.#role === 'leading';
    this.#isRetired = true;
    // We order nobody from here on: what we promised ourselves binds no successor any longer than this.
    if ((this.#promises.get(this.#me) ?? now) > now) this.#promises.set(this.#me, now);
    if (wasLeading)
      for (const peer of this.#others())
        this.#speak(peer, { kind: 'released', epoch: this.#epoch });
    this.#lose('looking');
  }

  /** Stops leading, as one that is no voter any more; what was promised to it binds until it runs out. */
  stepDown(): void {
    if (this.#role === 'leading') this.#lose('looking');
  }

  /** A node that lost its disk neither proposes nor grants until it has been repaired. */
  setMayVote(mayVote: boolean, record: VoteRecord, now: Moment): void {
    if (mayVote && !this.#mayVote && record.epoch > 0) {
      // We may have granted that epoch to somebody and forgotten it: we take part again from the next one on.
      this.#epoch = nextElecting(epochOf(Math.max(record.epoch, this.#epoch)));
      this.#bootPromise = later(now, this.#settings.spanMs);
      this.#bootLeader = '';
      // Whoever leads hears by our return to its renewal that it must come to our epoch. Were we to lead, having lost
      // nothing but our disk, nobody could order until the former lease has run out.
      this.#listenUntil = this.#listenEnd(now);
    }
    if (!mayVote) this.#lose('looking');
    if (mayVote !== this.#mayVote) {
      this.#mayVote = mayVote;
      this.#keep(now);
    }
  }

  setQuorum(quorum: Quorum): void {
    // Voters that came since have promised nobody anything: by them alone a former holder's lease would count for nothing.
    const isChange = quorum.text !== this.#quorum.text;
    if (isChange && this.#role === 'leading' && this.#orderFrom > this.#notBefore)
      this.#notBefore = this.#orderFrom;
    this.#quorum = quorum;
    if (this.#role === 'leading' || this.#role === 'won') this.#settleOrderFrom();
  }

  /** When a voter last returned a ping; nothing for one never pinged. */
  heardAt(peer: NodeId): Moment | undefined {
    return this.#pinged.get(peer)?.heard;
  }

  /** Elections that this node started since its process began. */
  get electionsStarted(): number {
    return this.#electionsStarted;
  }

  /** Terms that this node granted to a leader, itself included. */
  get votesGranted(): number {
    return this.#votesGranted;
  }

  /** Voters that have lately returned a ping, this node included if it votes. */
  reachableVoters(now: Moment): number {
    const { deadMs } = this.#settings;
    let count = 0;
    for (const voter of this.#quorum.all) {
      const at = voter === this.#me ? now : this.#provenAt.get(voter);
      if (at !== undefined && now - at < deadMs) count += 1;
    }
    return count;
  }

  /**
   * The newest moment at which a majority of the voters was in contact both ways: each of it has returned a ping that we
   * sent no earlier. Nothing if there was none since the process began.
   */
  majorityContact(now: Moment): Moment | undefined {
    const majority = new Set<NodeId>([this.#me]);
    if (this.#quorum.isMajority(majority)) return now;
    for (const [voter, at] of [...this.#provenAt].sort(byEnd).reverse()) {
      majority.add(voter);
      if (this.#quorum.isMajority(majority)) return at;
    }
    return undefined;
  }

  drain(): VoteEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  kept(token: number): void {
    this.#kept = Math.max(this.#kept, token);
    const held = this.#held;
    this.#held = [];
    for (const item of held) {
      if (item.token <= this.#kept) item.run();
      else this.#held.push(item);
    }
  }

  tick(now: Moment): void {
    this.#ping(now);
    if (!this.#mayVote || this.#isRetired) return;
    this.#noteFree(now);
    if (!this.#quorum.holds(this.#me)) {
      // One that leaves its seat leads until the others hold that: they renew it meanwhile, or its lease runs out.
      if (this.#role === 'leading') this.#tickLeader(now);
      else if (this.#role !== 'looking' && this.#role !== 'following') this.#lose('looking');
      return;
    }
    if (this.#role === 'leading' || this.#role === 'won') this.#tickLeader(now);
    if (this.#role === 'proposing' && now >= this.#limit) {
      if (this.#quorum.isMajority(this.#deferrals)) this.#win(now);
      else this.#startIfReachable(now);
    } else if (this.#role === 'won' && now >= this.#limit) {
      this.#startIfReachable(now);
    } else if (this.#role === 'deferred' && now >= this.#limit) {
      this.#startIfReachable(now);
    } else if (
      this.#role === 'following' &&
      now >= later(this.#heardLeader, this.#settings.spanMs)
    ) {
      this.#lose('looking');
      this.#startIfReachable(now);
    } else if (this.#role === 'looking' && (now >= this.#listenUntil || this.#isOurTurn(now))) {
      this.#startIfReachable(now);
    }
  }

  #listenEnd(now: Moment): Moment {
    return later(now, this.#settings.renewMs * 2 + this.#settings.pingMs);
  }

  /**
   * When all have restarted together nobody knows the others' scores yet, and proposals at one moment would be deferred to
   * in a ring: each waits its turn by its place among the voters, so that the first is deferred to by all.
   */
  #isOurTurn(now: Moment): boolean {
    if (!this.#isLeaderless()) {
      this.#leaderlessAt = undefined;
      return false;
    }
    this.#leaderlessAt ??= now;
    // Whoever led before goes first: it alone need not wait for its own lease before it orders.
    const turn = this.#granted.leader === this.#me ? 0 : 1 + this.#quorum.all.indexOf(this.#me);
    return now >= later(this.#leaderlessAt, turn * TURN_MS);
  }

  /** A majority that follows nobody shows that nobody leads: after all have restarted there is nothing to listen for. */
  #isLeaderless(): boolean {
    if (this.#leaderless.size === 0) return false;
    return this.#quorum.isMajority(new Set([this.#me, ...this.#leaderless]));
  }

  receive(now: Moment, from: NodeId, message: Message): void {
    switch (message.kind) {
      case 'ping':
        this.#scores.merge(message.reports);
        if (message.leader === '') this.#leaderless.add(from);
        else this.#leaderless.delete(from);
        this.#sendPong(from, message.nonce);
        break;
      case 'pong':
        this.#receivePong(now, from, message.nonce, message.reports);
        break;
      case 'propose':
        this.#receivePropose(now, from, epochOf(message.epoch), message.reports);
        break;
      case 'defer':
        this.#receiveDefer(now, from, epochOf(message.epoch), message.reports);
        break;
      case 'victory':
        this.#receiveVictory(
          now,
          from,
          epochOf(message.epoch),
          message.reports,
          message.nonce,
          message.quorum,
        );
        break;
      case 'granted':
        this.#receiveGranted(
          now,
          from,
          epochOf(message.epoch),
          message.wait,
          message.nonce,
          message.reports,
        );
        break;
      case 'behind':
        this.#receiveBehind(now, epochOf(message.epoch), message.reports);
        break;
      case 'renew':
        this.#receiveRenew(now, from, epochOf(message.epoch), message.nonce, message.quorum);
        break;
      case 'released':
        this.#receiveReleased(now, from, epochOf(message.epoch));
        break;
      case 'renewed':
        if (message.epoch === this.#epoch) this.#countRenewal(from, message.nonce);
        break;
      default:
        break;
    }
  }

  // ---- pings

  #ping(now: Moment): void {
    if (now < later(this.#pingedAt, this.#settings.pingMs)) return;
    this.#pingedAt = now;
    this.#nonce += 1;
    for (const peer of this.#quorum.all) {
      if (peer === this.#me) continue;
      const state = this.#pinged.get(peer) ?? { sent: now, heard: now, scored: now };
      this.#pinged.set(peer, state);
      if (now - state.heard >= this.#settings.deadMs) {
        this.#scores.reportDead(peer, (now - state.scored) / 1000);
        state.scored = now;
      }
      state.sent = now;
      this.#speak(peer, {
        kind: 'ping',
        nonce: now,
        epoch: 0,
        reports: this.#scores.reports(),
        leader: this.#leader ?? '',
      });
    }
  }

  #sendPong(to: NodeId, nonce: number): void {
    this.#speak(to, {
      kind: 'pong',
      nonce,
      epoch: 0,
      reports: this.#scores.reports(),
      standing: '',
    });
  }

  #receivePong(now: Moment, from: NodeId, sent: number, reports: readonly ReportMessage[]): void {
    this.#scores.merge(reports);
    const state = this.#pinged.get(from);
    // The nonce is our own moment of sending: a pong held up for longer than a link counts as dead proves nothing.
    if (!state || now - sent >= this.#settings.deadMs) return;
    state.heard = now;
    // One that came back to a former incarnation of ours names a moment that we have not had yet.
    if (sent <= now) this.#provenAt.set(from, moment(sent));
    this.#scores.reportLive(from, (now - state.scored) / 1000);
    state.scored = now;
  }

  // ---- election

  /** Bumps the epoch and proposes ourselves. */
  start(now: Moment): void {
    this.#electionsStarted += 1;
    this.#lose('proposing');
    this.#adopt(nextElecting(this.#epoch), now);
    this.#role = 'proposing';
    this.#deferrals = new Set([this.#me]);
    this.#limit = later(now, this.#settings.electionMs);
    for (const peer of this.#others())
      this.#speak(peer, { kind: 'propose', epoch: this.#epoch, reports: this.#frozen.reports() });
    if (this.#quorum.all.length === 1) this.#win(now);
  }

  #startIfReachable(now: Moment): void {
    // A node that is no voter yet, as far as it knows, would be counted by everyone but itself.
    if (this.#isRetired || !this.#quorum.holds(this.#me)) return;
    // Our exception: a node that cannot reach a majority, or whose disk stalls, could only run the epoch up for the others.
    if (this.#reachesMajority() && !this.#isStalled(now)) {
      this.start(now);
    } else if (this.#role !== 'looking') {
      this.#lose('looking');
    }
  }

  #receivePropose(
    now: Moment,
    from: NodeId,
    epoch: Epoch,
    reports: readonly ReportMessage[],
  ): void {
    this.#scores.merge(reports);
    if (!this.#mayVote || !this.#quorum.holds(from)) return;
    const isSettled = this.#leader !== undefined && !isElecting(this.#epoch);
    if (isSettled && !this.#quorumMembers.has(from)) {
      // From outside the quorum: only worth an election if another than the present leader would come out of it,
      // or if we lead ourselves and the newcomer has run ahead, since it could then never accept our renewals.
      if (this.#isOutscored()) this.#startIfReachable(now);
      else if (this.#leader === this.#me && epoch > this.#epoch) {
        this.#adopt(epoch, now);
        this.#startIfReachable(now);
      }
      return;
    }
    if (epoch < this.#epoch) {
      // An old message. A sender that looks newly booted must learn the epoch to take part; while electing, start anew for it.
      if (!isSettled && this.#role === 'proposing')
        this.#speak(from, { kind: 'propose', epoch: this.#epoch, reports: this.#frozen.reports() });
      else
        this.#speak(from, { kind: 'behind', epoch: this.#epoch, reports: this.#scores.reports() });
      return;
    }
    if (epoch > this.#epoch) {
      // Our leader may come to a higher epoch for the sake of one that was repaired: by the tie-break alone it is not
      // outbid, since another could order only after its lease.
      const isKept = this.#leader === from || now < this.#listenUntil;
      this.#lose('looking');
      this.#adopt(epoch, now);
      // In the first moments after a start not all scores are known: whoever led before is not outbid by what is.
      const isBetter =
        now < this.#listenUntil && this.#granted.leader === from
          ? false
          : isKept
            ? this.#isAbove(from)
            : this.#frozen.isBetter(this.#me, from, this.#quorum.all);
      if (
        isBetter &&
        !this.#isRetired &&
        this.#quorum.holds(this.#me) &&
        this.#reachesMajority() &&
        !this.#isStalled(now)
      ) {
        this.start(now);
      } else {
        this.#deferTo(now, from, reports);
      }
      return;
    }
    if (!isElecting(epoch)) return;
    const current = this.#deferredTo ?? (this.#role === 'proposing' ? this.#me : undefined);
    if (current === from) return;
    if (current === undefined) {
      this.#deferTo(now, from, reports);
      return;
    }
    if (!this.#frozen.isBetter(from, current, this.#quorum.all)) return;
    const view = this.#deferredScores ?? this.#frozen;
    // Deferral is transitive: where the one we chose before would not defer here, everyone starts over.
    if (view.isBetter(from, current, this.#quorum.all)) this.#deferTo(now, from, reports);
    else this.#startIfReachable(now);
  }

  #deferTo(now: Moment, from: NodeId, reports: readonly ReportMessage[]): void {
    this.#role = 'deferred';
    this.#deferredTo = from;
    const view = new Scores(this.#me, this.#settings.halfLifeSeconds);
    view.merge(reports);
    this.#deferredScores = view;
    this.#limit = later(now, this.#settings.electionMs * 2);
    this.#speak(from, { kind: 'defer', epoch: this.#epoch, reports: this.#frozen.reports() });
  }

  #receiveDefer(now: Moment, from: NodeId, epoch: Epoch, reports: readonly ReportMessage[]): void {
    this.#scores.merge(reports);
    if (this.#role !== 'proposing' || epoch !== this.#epoch || !this.#quorum.holds(from)) return;
    this.#deferrals.add(from);
    // Everyone in reach has deferred: nothing is gained by waiting for the limit.
    if (
      this.#quorum.isMajority(this.#deferrals) &&
      this.#others().every(this.#deferredOrDead, this)
    )
      this.#win(now);
  }

  #deferredOrDead(peer: NodeId): boolean {
    return this.#deferrals.has(peer) || !this.#scores.isAlive(peer);
  }

  #win(now: Moment): void {
    const epoch = nextLeading(this.#epoch);
    const quorumMembers = this.#deferrals;
    this.#adopt(epoch, now);
    this.#role = 'won';
    this.#leader = this.#me;
    this.#quorumMembers = new Set(quorumMembers);
    this.#grants.clear();
    this.#orderFrom = now;
    this.#limit = later(now, this.#settings.electionMs * 2);
    this.#renewedAt = now;
    this.#renewals.clear();
    const nonce = this.#openRenewal(now);
    this.#grant(now, this.#me, nonce);
    for (const peer of this.#others())
      this.#speak(peer, {
        kind: 'victory',
        epoch,
        reports: this.#scores.reports(),
        nonce,
        quorum: [...quorumMembers],
        sentAt: now,
      });
  }

  #receiveVictory(
    now: Moment,
    from: NodeId,
    epoch: Epoch,
    reports: readonly ReportMessage[],
    nonce: number,
    quorum: readonly string[],
  ): void {
    this.#scores.merge(reports);
    if (!this.#mayVote || !this.#quorum.holds(from) || isElecting(epoch)) return;
    if (epoch < this.#epoch) {
      this.#speak(from, { kind: 'behind', epoch: this.#epoch, reports: this.#scores.reports() });
      return;
    }
    this.#follow(now, from, epoch, nonce, quorum);
  }

  #follow(now: Moment, from: NodeId, epoch: Epoch, nonce: number, quorum: readonly string[]): void {
    // One grant per epoch, even if two winners of overlapping deferrals ask.
    if (
      this.#granted.epoch >= epoch &&
      !(this.#granted.epoch === epoch && this.#granted.leader === from)
    )
      return;
    if (epoch > this.#epoch || this.#leader !== from) {
      this.#lose('following');
      this.#adopt(epoch, now);
    }
    this.#role = 'following';
    this.#leader = from;
    this.#quorumMembers = new Set([this.#me, from, ...quorum.map(nodeId)]);
    this.#heardLeader = now;
    this.#grant(now, from, nonce);
  }

  #receiveBehind(now: Moment, epoch: Epoch, reports: readonly ReportMessage[]): void {
    this.#scores.merge(reports);
    if (epoch <= this.#epoch || !this.#mayVote || this.#role === 'following') return;
    this.#lose('looking');
    this.#adopt(epoch, now);
    this.#startIfReachable(now);
  }

  // ---- grants and lease

  #grant(now: Moment, leader: NodeId, nonce: number): void {
    const epoch = this.#epoch;
    const wait = this.#wait(now, leader);
    if (this.#granted.epoch !== epoch) {
      this.#votesGranted += 1;
      this.#granted = { epoch, leader, freeAt: later(now, wait), isFree: wait <= 0 };
      this.#keep(now);
    }
    this.#promises.set(leader, later(now, this.#settings.spanMs));
    if (leader === this.#me)
      this.#afterKept(this.#countGrant.bind(this, now, this.#me, epoch, wait, nonce));
    else
      this.#speak(leader, { kind: 'granted', epoch, wait, nonce, reports: this.#scores.reports() });
  }

  /** Once what was promised to others has run out, the record says so; nothing said meanwhile waits for that. */
  #noteFree(now: Moment): void {
    if (this.#granted.isFree || this.#granted.epoch === 0 || now < this.#granted.freeAt) return;
    this.#granted = { ...this.#granted, isFree: true };
    this.#effects.push({ do: 'keep', token: this.#token, record: this.record });
  }

  /** How long from now the promises made to others still bind, with the span in which nobody orders. */
  #wait(now: Moment, leader: NodeId): number {
    let until =
      leader === this.#bootLeader ? moment(now - this.#settings.leaseMs * 2) : this.#bootPromise;
    for (const [other, end] of this.#promises) if (other !== leader && end > until) until = end;
    // The holder's clock may be slow, ours and the winner's fast: each span is made longer by what they may differ.
    const { leaseMs, spanMs, drift } = this.#settings;
    return Math.max(0, (until + leaseMs - now) * (1 + 3 * drift) + 2 * drift * spanMs);
  }

  #receiveGranted(
    now: Moment,
    from: NodeId,
    epoch: Epoch,
    wait: number,
    nonce: number,
    reports: readonly ReportMessage[],
  ): void {
    this.#scores.merge(reports);
    this.#countGrant(now, from, epoch, wait, nonce);
  }

  #countGrant(now: Moment, from: NodeId, epoch: Epoch, wait: number, nonce: number): void {
    if (epoch !== this.#epoch || (this.#role !== 'won' && this.#role !== 'leading')) return;
    this.#quorumMembers.add(from);
    const known = this.#grants.get(from);
    // Told again by a later renewal, a promise still ends when it was first said to.
    if (known === undefined || later(now, wait) < known) this.#grants.set(from, later(now, wait));
    this.#settleOrderFrom();
    this.#countRenewal(from, nonce);
    if (this.#role === 'won' && this.#quorum.isMajority(new Set(this.#grants.keys())))
      this.#role = 'leading';
  }

  /** Any majority of grants shares a voter with the one that renewed the holder before us: the one free first is enough. */
  #settleOrderFrom(): void {
    const ends = [...this.#grants].sort(byEnd);
    const free = new Set<NodeId>();
    for (const [peer, end] of ends) {
      free.add(peer);
      if (!this.#quorum.isMajority(free)) continue;
      this.#orderFrom = end > this.#notBefore ? end : this.#notBefore;
      return;
    }
  }

  #openRenewal(now: Moment): number {
    this.#nonce += 1;
    this.#renewals.set(this.#nonce, { sent: now, by: new Set() });
    return this.#nonce;
  }

  #countRenewal(from: NodeId, nonce: number): void {
    const renewal = this.#renewals.get(nonce);
    if (!renewal || (this.#role !== 'leading' && this.#role !== 'won')) return;
    renewal.by.add(from);
    if (!this.#quorum.isMajority(renewal.by)) return;
    const end = later(renewal.sent, this.#settings.spanMs);
    if (end > this.#leaseEnd) this.#leaseEnd = end;
    for (const old of this.#renewals.keys()) if (old <= nonce) this.#renewals.delete(old);
  }

  #tickLeader(now: Moment): void {
    if (this.#role === 'leading' && now >= this.#leaseEnd) {
      // No majority renews us any more: whoever they follow now, it is not us.
      this.#lose('looking');
      return;
    }
    if (now < later(this.#renewedAt, this.#settings.renewMs)) return;
    this.#renewedAt = now;
    const nonce = this.#openRenewal(now);
    for (const [old, renewal] of this.#renewals)
      if (now - renewal.sent > this.#settings.spanMs) this.#renewals.delete(old);
    this.#promises.set(this.#me, later(now, this.#settings.spanMs));
    // Our own renewal counts only once our own grant of this epoch is on disk.
    this.#afterKept(this.#countRenewal.bind(this, this.#me, nonce));
    for (const peer of this.#others())
      this.#speak(peer, {
        kind: 'renew',
        epoch: this.#epoch,
        nonce,
        quorum: [...this.#quorumMembers],
        sentAt: now,
      });
  }

  #receiveReleased(now: Moment, from: NodeId, epoch: Epoch): void {
    if (epoch !== this.#epoch || this.#leader !== from) return;
    const promise = this.#promises.get(from);
    if (promise !== undefined && promise > now) this.#promises.set(from, now);
    this.#lose('looking');
    this.#startIfReachable(now);
  }

  #receiveRenew(
    now: Moment,
    from: NodeId,
    epoch: Epoch,
    nonce: number,
    quorum: readonly string[],
  ): void {
    if (!this.#mayVote || !this.#quorum.holds(from) || isElecting(epoch)) return;
    if (epoch < this.#epoch) {
      this.#speak(from, { kind: 'behind', epoch: this.#epoch, reports: [] });
      return;
    }
    if (
      this.#granted.epoch === epoch &&
      this.#granted.leader === from &&
      this.#epoch === epoch &&
      this.#leader === from
    ) {
      this.#heardLeader = now;
      this.#quorumMembers = new Set([this.#me, from, ...quorum.map(nodeId)]);
      this.#promises.set(from, later(now, this.#settings.spanMs));
      this.#speak(from, { kind: 'renewed', epoch, nonce });
      return;
    }
    // We missed the victory (or restarted): joining late is a grant like any other.
    this.#follow(now, from, epoch, nonce, quorum);
  }

  // ---- small parts

  #others(): NodeId[] {
    const me = this.#me;
    function isOther(peer: NodeId): boolean {
      return peer !== me;
    }
    return this.#quorum.all.filter(isOther);
  }

  /** Whether somebody's total is above our leader's; the tie-break alone is no reason to change a leader. */
  #isOutscored(): boolean {
    const leader = this.#leader;
    const top = this.#scores.top(this.#quorum.all);
    if (leader === undefined || top === undefined) return true;
    return (
      Math.round(this.#scores.total(top, this.#quorum.all) * 1000) >
      Math.round(this.#scores.total(leader, this.#quorum.all) * 1000)
    );
  }

  /** Whether our total is above the other's, leaving the tie-break aside. */
  #isAbove(peer: NodeId): boolean {
    return (
      Math.round(this.#frozen.total(this.#me, this.#quorum.all) * 1000) >
      Math.round(this.#frozen.total(peer, this.#quorum.all) * 1000)
    );
  }

  #reachesMajority(): boolean {
    return this.#quorum.isMajority(
      new Set(this.#quorum.all.filter(this.#scores.isAlive, this.#scores)),
    );
  }

  #isStalled(now: Moment): boolean {
    return this.#kept < this.#token && now - this.#keepSince > this.#settings.stallMs;
  }

  #lose(role: Role): void {
    this.#role = role;
    this.#leader = undefined;
    this.#quorumMembers = new Set();
    this.#deferredTo = undefined;
    this.#deferredScores = undefined;
    this.#deferrals = new Set();
    this.#grants.clear();
    this.#renewals.clear();
    this.#leaseEnd = moment(-1);
  }

  /** Takes on an epoch: scores are frozen anew, and nothing is said in it before it is on disk. */
  #adopt(epoch: Epoch, now: Moment): void {
    if (epoch !== this.#epoch) {
      this.#epoch = epoch;
      this.#keep(now);
    }
    this.#frozen = this.#scores.freeze();
  }

  #keep(now: Moment): void {
    if (this.#kept === this.#token) this.#keepSince = now;
    this.#token += 1;
    this.#effects.push({ do: 'keep', token: this.#token, record: this.record });
  }

  #afterKept(run: () => void): void {
    if (this.#kept >= this.#token) run();
    else this.#held.push({ token: this.#token, run });
  }

  #speak(to: NodeId, message: Message): void {
    const send: VoteEffect = { do: 'send', to, message };
    // Pings carry no epoch, so they need not wait for the disk.
    if (message.kind === 'ping' || message.kind === 'pong') this.#effects.push(send);
    else this.#afterKept(this.#push.bind(this, send));
  }

  #push(effect: VoteEffect): void {
    this.#effects.push(effect);
  }
}

function byEnd(a: readonly [NodeId, Moment], b: readonly [NodeId, Moment]): number {
  return a[1] - b[1];
}
