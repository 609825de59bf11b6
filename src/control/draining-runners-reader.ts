import { later, moment, nodeId, type Moment } from '../common/ids.js';
import type { KnownVersion, Message } from '../common/messages.js';
import type { Quorum } from '../common/quorum.js';
import type { Relay } from '../dissemination/relay.js';
import { DrainingRunnerIds } from '../dissemination/draining-runner-ids.js';
import type { Elector } from '../election/elector.js';
import type { ListedRunner } from '../placement/fleet.js';

/** What the watch needs of the control node that it belongs to. */
export interface DrainingRunnersHost {
  readonly me: string;
  readonly elector: Elector;
  readonly relay: Relay;
  /** Who votes, by the newest configuration known here. */
  quorum(): Quorum;
  /** Whether this node leads and has taken over the state: it then reads the list as the leader. */
  isServing(): boolean;
  /** Those that get their news from this node. */
  children(): Iterable<string>;
  /** Asks for the platform's list of runners. */
  pollRunnerList(): void;
  send(to: string, message: Message): void;
}

/** Without a sign of a serving leader for so long the list is read here: two renewals of its lease have not come. */
export const LEADERLESS_MS = 600;
/** By how much later each further voter begins, in the order of the voters, and all of them at most. */
const STAGGER_MS = 150;
const MAX_STAGGER_MS = 600;
/** How often one reader reads, and how much longer the others wait for what it tells. */
const READ_INTERVAL_MS = 1000;
const PEER_SLACK_MS = 250;
/** A reading that brought nothing is tried again after twice the time, up to this. */
const MAX_BACKOFF_MS = 4000;
/** Ticks come every 50 ms; after a longer pause what arrived meanwhile is heard before anything is judged by it. */
const EVENT_LOOP_STALL_MS = 400;

/**
 * Reads the platform's list while no leader does, and tells which runners are leaving. In ordinary times it does nothing:
 * the serving leader reads the list and tells it by the fleet.
 */
export class DrainingRunnersReader {
  readonly #host: DrainingRunnersHost;
  readonly #runners = new DrainingRunnerIds();
  /** The last sign that a leader serves. */
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

  /** How often the list was asked for here while no leader read it. */
  get reads(): number {
    return this.#reads;
  }

  tick(now: Moment): void {
    this.#runners.tick(now);
    const wasStalled = now - this.#lastTickAt > EVENT_LOOP_STALL_MS;
    this.#lastTickAt = now;
    this.#updateLastServedAt(now);
    if (wasStalled || now < this.#nextReadAt || !this.#isReadDue(now)) return;
    this.#reads += 1;
    this.#nextReadAt = later(now, this.#backoffMs);
    // Until it brings something, this reading counts as one in vain.
    this.#backoffMs = Math.min(MAX_BACKOFF_MS, this.#backoffMs * 2);
    this.#host.pollRunnerList();
  }

  /** The list came to this node as the serving leader: what it reads after its term is no sooner than otherwise. */
  onListReadAsLeader(now: Moment): void {
    this.#backoffMs = READ_INTERVAL_MS;
    this.#nextReadAt = later(now, READ_INTERVAL_MS);
  }

  /** The list as read here while this node serves nobody. */
  onRunnerList(now: Moment, runners: readonly ListedRunner[]): void {
    this.#backoffMs = READ_INTERVAL_MS;
    this.#nextReadAt = moment(Math.min(this.#nextReadAt, later(now, READ_INTERVAL_MS)));
    const ids: string[] = [];
    for (const runner of runners) if (runner.isLeaving) ids.push(runner.id);
    this.#addAndForward(now, ids);
    // Told whole, and also where nobody leaves: the other voters need not read the list as well.
    for (const voter of this.#host.quorum().all)
      if (voter !== this.#host.me) this.#notify(voter, this.#runners.ids);
  }

  /** Ids that another node told. */
  onDrainingRunners(now: Moment, from: string, runners: readonly string[]): void {
    this.#addAndForward(now, runners);
    if (!this.#isVoter(from)) return;
    // That voter has just read the list: this node's turn comes if it does not go on.
    this.#backoffMs = READ_INTERVAL_MS;
    this.#nextReadAt = later(now, READ_INTERVAL_MS + PEER_SLACK_MS + this.#staggerMs());
  }

  /** A node below asked for news: ids that were lost on the way to it are told again. */
  onUpdateRequest(from: string, have: readonly KnownVersion[]): void {
    // To a voter it would say that the list was read just now.
    if (this.#isVoter(from)) return;
    const runners = this.#runners.missingFrom(have);
    if (runners.length > 0) this.#notify(from, runners);
  }

  #addAndForward(now: Moment, ids: readonly string[]): void {
    const fresh = this.#runners.add(now, ids);
    if (fresh.length === 0) return;
    // One that leads without serving yet feeds the voters too: they are told as voters.
    for (const child of this.#host.children())
      if (!this.#isVoter(child)) this.#notify(child, fresh);
  }

  #notify(to: string, runners: readonly string[]): void {
    this.#host.send(to, { kind: 'leaving', runners: [...runners] });
  }

  #isVoter(id: string): boolean {
    return this.#host.quorum().includes(nodeId(id));
  }

  /** One that leads without serving yet renews its lease, but reads no list: its term's first word on the fleet is the sign. */
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

  /** Whether a reading is due here; never where this node is no voter, since it then hears no renewals. */
  #isReadDue(now: Moment): boolean {
    return (
      this.#isVoter(this.#host.me) && now - this.#lastServedAt >= LEADERLESS_MS + this.#staggerMs()
    );
  }

  /** Voters take turns by their place, so that as a rule one of them reads and the others hear of it. */
  #staggerMs(): number {
    const { all } = this.#host.quorum();
    const place = Math.max(0, all.indexOf(nodeId(this.#host.me)));
    return place * Math.min(STAGGER_MS, MAX_STAGGER_MS / all.length);
  }
}
