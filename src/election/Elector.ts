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
import { Lease } from './Lease.js';
import { Promises } from './Promises.js';
import { ProposalTiming } from './ProposalTiming.js';
import { Scores } from './Scores.js';
import { SyncedOutbox } from './SyncedOutbox.js';
import type { VoteEffect, VoteRecord } from './VoteEffect.js';
import { VoterLinks } from './VoterLinks.js';
import type { VoteSettings } from './VoteSettings.js';

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
  readonly #links: VoterLinks;
  #frozen: Scores;
  #epoch: Epoch;
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

  readonly #lease: Lease;
  readonly #promises: Promises;

  #electionsStarted = 0;
  #votesGranted = 0;

  readonly #timing: ProposalTiming;
  /** Whether this process has followed somebody or led. */
  #hasKnownLeader = false;
  /** Who told us that it had won an epoch below ours, over slow links. */
  #outrun: NodeId | undefined;

  readonly #outbox: SyncedOutbox;

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
    this.#outbox = new SyncedOutbox(now);
    this.#links = new VoterLinks(me, settings, this.#outbox, now);
    this.#frozen = this.#links.scores.freeze();
    this.#epoch = epochOf(record.epoch);
    this.#lease = new Lease(settings);
    this.#promises = new Promises(settings, now, record);
    this.#timing = new ProposalTiming(me, settings, this.#links, now);
    if (record.epoch > 0) this.#timing.listen(now);
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
  /** When the leader that is followed was heard last, by its victory or a renewal. */
  get leaderHeardAt(): Moment {
    return this.#heardLeader;
  }
  get quorumMembers(): ReadonlySet<NodeId> {
    return this.#quorumMembers;
  }
  get scores(): Scores {
    return this.#links.scores;
  }
  get record(): VoteRecord {
    return this.#promises.record(this.#epoch);
  }

  /** Whether a majority has granted us this epoch: we hold the state and may write it, fenced by the epoch. */
  isLeading(): boolean {
    return this.#role === 'leading';
  }

  /** The end of our lease; orders may be under way only before it. */
  get leaseEnd(): Moment {
    return this.#lease.end;
  }

  /** Asked right before each order's write. */
  mayOrder(now: Moment): boolean {
    return this.#role === 'leading' && this.#lease.mayOrder(now, this.#quorum);
  }

  /**
   * Stops leading and voting for good, as before a planned stop. Only to be called with no order under way:
   * the others then need not wait for our lease, only for the span in which nobody orders.
   */
  retire(now: Moment): void {
    const wasLeading = this.#role === 'leading';
    this.#isRetired = true;
    // We order nobody from here on: what we promised ourselves binds no successor any longer than this.
    this.#promises.release(now, this.#me);
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
      this.#promises.forget(now);
      // Whoever leads hears by our return to its renewal that it must come to our epoch. Were we to lead, having lost
      // nothing but our disk, nobody could order until the former lease has run out.
      this.#timing.listen(now);
    }
    if (!mayVote) this.#lose('looking');
    if (mayVote !== this.#mayVote) {
      this.#mayVote = mayVote;
      this.#keep(now);
    }
  }

  setQuorum(quorum: Quorum): void {
    this.#quorum = quorum;
    if (this.#role === 'leading' || this.#role === 'won') this.#lease.settleOrderFrom(quorum);
  }

  /** When a voter last returned a ping; nothing for one never pinged. */
  heardAt(peer: NodeId): Moment | undefined {
    return this.#links.heardAt(peer);
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
    return this.#links.reachableVoters(now, this.#quorum);
  }

  /**
   * The newest moment at which a majority of the voters was in contact both ways: each of it has returned a ping that we
   * sent no earlier. Nothing if there was none since the process began.
   */
  majorityContact(now: Moment): Moment | undefined {
    return this.#links.majorityContact(now, this.#quorum);
  }

  drain(): VoteEffect[] {
    return this.#outbox.drain();
  }

  kept(token: number): void {
    this.#outbox.kept(token);
  }

  tick(now: Moment): void {
    this.#links.tick(now, this.#quorum, this.#leader);
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
    } else if (
      this.#role === 'looking' &&
      this.#timing.isTimeToPropose(now, this.#quorum, this.#promises.leader)
    ) {
      this.#startIfReachable(now);
    }
  }

  /**
   * Over slow links few scores are known in the first election after a start, and each voter knows others: by these they
   * would defer to each other in a ring. Until a leader has been known the place among the voters decides there.
   */
  #outbids(view: Scores, one: NodeId, other: NodeId): boolean {
    if (!this.#hasKnownLeader && this.#slowLinkMs() > 0) return one < other;
    return view.isBetter(one, other, this.#quorum.all);
  }

  receive(now: Moment, from: NodeId, message: Message): void {
    switch (message.kind) {
      case 'ping':
        this.#links.receivePing(from, message);
        break;
      case 'pong':
        this.#links.receivePong(now, from, message);
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

  // ---- election

  /** Bumps the epoch and proposes ourselves. */
  start(now: Moment): void {
    this.#electionsStarted += 1;
    this.#lose('proposing');
    this.#adopt(nextElecting(this.#epoch), now);
    this.#role = 'proposing';
    this.#deferrals = new Set([this.#me]);
    this.#limit = later(now, this.#settings.electionMs + this.#slowLinkMs());
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
    this.#links.scores.merge(reports);
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
        this.#speak(from, {
          kind: 'behind',
          epoch: this.#epoch,
          reports: this.#links.scores.reports(),
        });
      return;
    }
    if (epoch > this.#epoch) {
      // Our leader may come to a higher epoch for the sake of one that was repaired: by the tie-break alone it is not
      // outbid, since another could order only after its lease.
      const isKept =
        this.#leader === from ||
        this.#outrun === from ||
        this.#timing.isListening(now, this.#quorum);
      this.#lose('looking');
      this.#adopt(epoch, now);
      // In the first moments after a start not all scores are known: whoever led before is not outbid by what is.
      const isBetter =
        this.#timing.isListening(now, this.#quorum) && this.#promises.leader === from
          ? false
          : isKept
            ? this.#isAbove(from)
            : this.#outbids(this.#frozen, this.#me, from);
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
    if (!this.#outbids(this.#frozen, from, current)) return;
    const view = this.#deferredScores ?? this.#frozen;
    // Deferral is transitive: where the one we chose before would not defer here, everyone starts over.
    if (this.#outbids(view, from, current)) this.#deferTo(now, from, reports);
    else this.#startIfReachable(now);
  }

  #deferTo(now: Moment, from: NodeId, reports: readonly ReportMessage[]): void {
    this.#role = 'deferred';
    this.#deferredTo = from;
    const view = new Scores(this.#me, this.#settings.halfLifeSeconds);
    view.merge(reports);
    this.#deferredScores = view;
    this.#limit = later(now, this.#settings.electionMs * 2 + this.#slowLinkMs());
    this.#speak(from, { kind: 'defer', epoch: this.#epoch, reports: this.#frozen.reports() });
  }

  #receiveDefer(now: Moment, from: NodeId, epoch: Epoch, reports: readonly ReportMessage[]): void {
    this.#links.scores.merge(reports);
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
    return this.#deferrals.has(peer) || !this.#links.scores.isAlive(peer);
  }

  #win(now: Moment): void {
    const epoch = nextLeading(this.#epoch);
    const quorumMembers = this.#deferrals;
    this.#adopt(epoch, now);
    this.#role = 'won';
    this.#leader = this.#me;
    this.#quorumMembers = new Set(quorumMembers);
    this.#limit = later(now, this.#settings.electionMs * 2 + this.#slowLinkMs());
    const nonce = this.#lease.begin(now);
    this.#grant(now, this.#me, nonce);
    for (const peer of this.#others())
      this.#speak(peer, {
        kind: 'victory',
        epoch,
        reports: this.#links.scores.reports(),
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
    this.#links.scores.merge(reports);
    if (!this.#mayVote || !this.#quorum.holds(from) || isElecting(epoch)) return;
    if (epoch < this.#epoch) {
      this.#noteOutrun(from);
      this.#speak(from, {
        kind: 'behind',
        epoch: this.#epoch,
        reports: this.#links.scores.reports(),
      });
      return;
    }
    this.#follow(now, from, epoch, nonce, quorum);
  }

  #follow(now: Moment, from: NodeId, epoch: Epoch, nonce: number, quorum: readonly string[]): void {
    if (!this.#promises.mayGrant(from, epoch)) return;
    if (epoch > this.#epoch || this.#leader !== from) {
      this.#lose('following');
      this.#adopt(epoch, now);
    }
    this.#role = 'following';
    this.#noteLeader();
    this.#leader = from;
    this.#quorumMembers = new Set([this.#me, from, ...quorum.map(nodeId)]);
    this.#heardLeader = now;
    this.#grant(now, from, nonce);
  }

  #receiveBehind(now: Moment, epoch: Epoch, reports: readonly ReportMessage[]): void {
    this.#links.scores.merge(reports);
    if (epoch <= this.#epoch || !this.#mayVote || this.#role === 'following') return;
    this.#lose('looking');
    this.#adopt(epoch, now);
    this.#startIfReachable(now);
  }

  // ---- grants and lease

  #grant(now: Moment, leader: NodeId, nonce: number): void {
    const epoch = this.#epoch;
    const wait = this.#promises.waitFor(now, leader);
    if (this.#promises.epoch !== epoch) {
      this.#votesGranted += 1;
      this.#promises.grant(now, leader, epoch, wait);
      this.#keep(now);
    }
    this.#promises.promise(now, leader);
    if (leader === this.#me)
      this.#outbox.afterKept(this.#countGrant.bind(this, now, this.#me, epoch, wait, nonce));
    else
      this.#speak(leader, {
        kind: 'granted',
        epoch,
        wait,
        nonce,
        reports: this.#links.scores.reports(),
      });
  }

  /** Once what was promised to others has run out, the record says so; nothing said meanwhile waits for that. */
  #noteFree(now: Moment): void {
    if (this.#promises.noteFree(now)) this.#outbox.keepUnawaited(this.record);
  }

  #receiveGranted(
    now: Moment,
    from: NodeId,
    epoch: Epoch,
    wait: number,
    nonce: number,
    reports: readonly ReportMessage[],
  ): void {
    this.#links.scores.merge(reports);
    this.#countGrant(now, from, epoch, wait, nonce);
  }

  #countGrant(now: Moment, from: NodeId, epoch: Epoch, wait: number, nonce: number): void {
    if (epoch !== this.#epoch || (this.#role !== 'won' && this.#role !== 'leading')) return;
    this.#quorumMembers.add(from);
    this.#lease.countGrant(now, from, wait, this.#quorum);
    this.#lease.countRenewal(from, nonce, this.#quorum);
    if (this.#role === 'won' && this.#lease.isGranted(this.#quorum)) this.#becomeLeading();
  }

  #becomeLeading(): void {
    this.#role = 'leading';
    this.#noteLeader();
  }

  #noteLeader(): void {
    this.#hasKnownLeader = true;
    this.#outrun = undefined;
  }

  #countRenewal(from: NodeId, nonce: number): void {
    if (this.#role === 'leading' || this.#role === 'won')
      this.#lease.countRenewal(from, nonce, this.#quorum);
  }

  #tickLeader(now: Moment): void {
    if (this.#role === 'leading' && now >= this.#lease.end) {
      // No majority renews us any more: whoever they follow now, it is not us.
      this.#lose('looking');
      return;
    }
    const nonce = this.#lease.renew(now);
    if (nonce === undefined) return;
    this.#promises.promise(now, this.#me);
    // Our own renewal counts only once our own grant of this epoch is on disk.
    this.#outbox.afterKept(this.#countRenewal.bind(this, this.#me, nonce));
    for (const peer of this.#others())
      this.#speak(peer, {
        kind: 'renew',
        epoch: this.#epoch,
        nonce,
        quorum: [...this.#quorumMembers],
        sentAt: now,
      });
  }

  /** Somebody leads an epoch that our own proposals have passed: by the tie-break alone it is not to be outbid again. */
  #noteOutrun(leader: NodeId): void {
    if (this.#slowLinkMs() > 0) this.#outrun = leader;
  }

  #receiveReleased(now: Moment, from: NodeId, epoch: Epoch): void {
    if (epoch !== this.#epoch || this.#leader !== from) return;
    this.#promises.release(now, from);
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
      this.#noteOutrun(from);
      this.#speak(from, { kind: 'behind', epoch: this.#epoch, reports: [] });
      return;
    }
    if (this.#promises.isGrantedTo(from, epoch) && this.#epoch === epoch && this.#leader === from) {
      this.#heardLeader = now;
      this.#quorumMembers = new Set([this.#me, from, ...quorum.map(nodeId)]);
      this.#promises.promise(now, from);
      this.#speak(from, { kind: 'renewed', epoch, nonce });
      return;
    }
    // We missed the victory (or restarted): joining late is a grant like any other.
    this.#follow(now, from, epoch, nonce, quorum);
  }

  // ---- small parts

  #slowLinkMs(): number {
    return this.#links.slowMs(this.#quorum);
  }

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
    const top = this.#links.scores.top(this.#quorum.all);
    if (leader === undefined || top === undefined) return true;
    return (
      Math.round(this.#links.scores.total(top, this.#quorum.all) * 1000) >
      Math.round(this.#links.scores.total(leader, this.#quorum.all) * 1000)
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
    return this.#links.reachesMajority(this.#quorum);
  }

  #isStalled(now: Moment): boolean {
    return this.#outbox.isStalled(now, this.#settings.stallMs);
  }

  #lose(role: Role): void {
    this.#role = role;
    this.#leader = undefined;
    this.#quorumMembers = new Set();
    this.#deferredTo = undefined;
    this.#deferredScores = undefined;
    this.#deferrals = new Set();
    this.#lease.clear();
  }

  /** Takes on an epoch: scores are frozen anew, and nothing is said in it before it is on disk. */
  #adopt(epoch: Epoch, now: Moment): void {
    if (epoch !== this.#epoch) {
      this.#epoch = epoch;
      this.#keep(now);
    }
    this.#frozen = this.#links.scores.freeze();
  }

  #keep(now: Moment): void {
    this.#outbox.keep(this.record, now);
  }

  #speak(to: NodeId, message: Message): void {
    this.#outbox.send(to, message);
  }
}
