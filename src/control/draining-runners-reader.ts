import { later, moment, nodeId, type Moment } from '../common/ids.js';
import type { KnownVersion, Message } from '../common/messages.js';
import type { Quorum } from '../common/quorum.js';
import type { Relay } from '../dissemination/relay.js';
import { DrainingRunnerIds } from '../dissemination/draining-runner-ids.js';
import type { Elector } from '../election/elector.js';
import type { ListedRunner } from '../placement/fleet.js';

/** The parts of the control node that the reader uses. */
export interface DrainingRunnersHost {
  readonly me: string;
  readonly elector: Elector;
  readonly relay: Relay;
  /** The voters of the newest configuration known here. */
  quorum(): Quorum;
  /** Whether this node leads and has read the complete state: it then reads the list as the leader. */
  isServing(): boolean;
  /** The nodes that get their updates from this node. */
  children(): Iterable<string>;
  /** Reads the platform's list of runners. */
  pollRunnerList(): void;
  /** Sends a message to another node. */
  send(to: string, message: Message): void;
}

/** A voter reads the list after this time without evidence of a serving leader: two lease renewals are missing. */
export const LEADERLESS_MS = 600;
/** Delay between the starts of successive voters, in the order of the voters, and the limit of the delays of all voters. */
const STAGGER_MS = 150;
const MAX_STAGGER_MS = 600;
/** Interval at which one voter reads, and how much longer the others wait for its notification. */
const READ_INTERVAL_MS = 1000;
const PEER_SLACK_MS = 250;
/** The interval doubles after each failed read, up to this maximum. */
const MAX_BACKOFF_MS = 4000;
/** Ticks come every 50 ms; after a longer gap than this, no read begins before the messages received meanwhile are handled. */
const EVENT_LOOP_STALL_MS = 400;

/**
 * Reads the platform's list of runners while no leader does, and notifies agents which runners are draining. Usually it
 * does nothing: the serving leader reads the list and publishes it with the fleet.
 */
export class DrainingRunnersReader {
  readonly #host: DrainingRunnersHost;
  readonly #runners = new DrainingRunnerIds();
  /** When there was last evidence of a serving leader. */
  #lastServedAt: Moment;
  #lastTickAt: Moment;
  #nextReadAt: Moment;
  #backoffMs = READ_INTERVAL_MS;
  #reads = 0;

  constructor(host: DrainingRunnersHost, now: Moment) {
    this.#host = host;
    this.#lastServedAt = now;
    this.#lastTickAt = now;
    this.#nextReadAt = now;
  }

  /** How often the list was read here while no leader did. */
  get reads(): number {
    return this.#reads;
  }

  /** Begins to read the list if no leader is known to serve and a read is due. */
  tick(now: Moment): void {
    this.#runners.tick(now);
    const wasStalled = now - this.#lastTickAt > EVENT_LOOP_STALL_MS;
    this.#lastTickAt = now;
    this.#updateLastServedAt(now);
    if (wasStalled || now < this.#nextReadAt || !this.#isReadDue(now)) return;
    this.#reads += 1;
    this.#nextReadAt = later(now, this.#backoffMs);
    // This read counts as failed until its result arrives.
    this.#backoffMs = Math.min(MAX_BACKOFF_MS, this.#backoffMs * 2);
    this.#host.pollRunnerList();
  }

  /** This node read the list as the serving leader. Once its epoch ends, it waits the usual interval before it reads again. */
  onListReadAsLeader(now: Moment): void {
    this.#backoffMs = READ_INTERVAL_MS;
    this.#nextReadAt = later(now, READ_INTERVAL_MS);
  }

  /** This node read the list while it does not serve. */
  onRunnerList(now: Moment, runners: readonly ListedRunner[]): void {
    this.#backoffMs = READ_INTERVAL_MS;
    this.#nextReadAt = moment(Math.min(this.#nextReadAt, later(now, READ_INTERVAL_MS)));
    const ids: string[] = [];
    for (const runner of runners) if (runner.isLeaving) ids.push(runner.id);
    this.#addAndForward(now, ids);
    // The complete set, even if it is empty: it also notifies the other voters that they need not read the list.
    for (const voter of this.#host.quorum().all)
      if (voter !== this.#host.me) this.#notify(voter, this.#runners.ids);
  }

  /** Another node sent the ids of draining runners. */
  onDrainingRunners(now: Moment, from: string, runners: readonly string[]): void {
    this.#addAndForward(now, runners);
    if (!this.#isVoter(from)) return;
    // That voter has just read the list: this node reads it only once the other one no longer does.
    this.#backoffMs = READ_INTERVAL_MS;
    this.#nextReadAt = later(now, READ_INTERVAL_MS + PEER_SLACK_MS + this.#staggerMs());
  }

  /** A child requested updates; the ids that it lacks are sent again. */
  onUpdateRequest(from: string, have: readonly KnownVersion[]): void {
    // A voter would conclude that the list has just been read.
    if (this.#isVoter(from)) return;
    const runners = this.#runners.missingFrom(have);
    if (runners.length > 0) this.#notify(from, runners);
  }

  #addAndForward(now: Moment, ids: readonly string[]): void {
    const added = this.#runners.add(now, ids);
    if (added.length === 0) return;
    // While this node leads without serving, voters are its children too: they are notified as voters.
    for (const child of this.#host.children())
      if (!this.#isVoter(child)) this.#notify(child, added);
  }

  #notify(to: string, runners: readonly string[]): void {
    this.#host.send(to, { kind: 'leaving', runners: [...runners] });
  }

  #isVoter(id: string): boolean {
    return this.#host.quorum().includes(nodeId(id));
  }

  /** A leader that does not serve yet renews its lease but reads no list: its epoch's first fleet update shows that it serves. */
  #updateLastServedAt(now: Moment): void {
    const { elector, relay } = this.#host;
    if (this.#host.isServing()) {
      this.#lastServedAt = now;
      return;
    }
    const isFollowing = elector.leader !== undefined && elector.leader !== this.#host.me;
    if (!isFollowing || relay.version('fleet').epoch !== elector.epoch) return;
    if (elector.leaderLastHeardAt > this.#lastServedAt)
      this.#lastServedAt = elector.leaderLastHeardAt;
  }

  /** Whether a read is due at this node; never if it is not a voter, since it then gets no lease renewals. */
  #isReadDue(now: Moment): boolean {
    return (
      this.#isVoter(this.#host.me) && now - this.#lastServedAt >= LEADERLESS_MS + this.#staggerMs()
    );
  }

  /** The delay of this voter, by its index: usually one voter reads the list first and notifies the others. */
  #staggerMs(): number {
    const { all } = this.#host.quorum();
    const index = Math.max(0, all.indexOf(nodeId(this.#host.me)));
    return index * Math.min(STAGGER_MS, MAX_STAGGER_MS / all.length);
  }
}
