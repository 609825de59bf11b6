import { array, string, type } from 'superstruct';
import { later, moment, type Moment } from '../common/ids.js';
import { parseAs } from '../common/json.js';
import type { Body, KnownVersion, Message } from '../common/messages.js';
import { compareVersions, NO_VERSION, type Version } from '../common/version.js';
import { Relay } from '../dissemination/relay.js';
import { FreshnessConfirmation } from '../dissemination/freshness-confirmation.js';
import { DrainingRunnerIds } from '../dissemination/draining-runner-ids.js';
import type { AgentEffect, AgentSettings } from './agent-effect.js';
import type { AgentMetrics } from './agent-metrics.js';
import { CONFIRMED_TIMING, DEPLOYED_TIMING, type AgentTiming } from './agent-timing.js';
import { ConfigurationLag } from './configuration-lag.js';
import { ControlNodeChoice } from './control-node-choice.js';
import { ControlSession } from './control-session.js';
import { CrossRequests } from './cross-requests.js';
import { FedProxies } from './fed-proxies.js';

export type { AgentEffect, AgentSettings } from './agent-effect.js';

const VotersShape = type({ voters: array(array(string())) });
/** The first `join` is sent this long before its interval has passed since the start. */
const FIRST_JOIN_ADVANCE_MS = 400;
/** How often updates are requested from the parent or the control node, in a deployment. */
const UPDATE_INTERVAL_MS = 1000;
/** A child sends a request at least once a second. One that has sent none for this long gets its updates elsewhere. */
const CHILD_TIMEOUT_MS = 3500;
/** The nonce of a request that is answered once, with updates only, and does not make its sender a child. */
const UPDATES_ONLY = -1;

/**
 * The state machine of the agent next to a proxy: it has a session with one control node, a position in the relay tree, and
 * sends updates to the proxy. It does no I/O itself: `drain` returns what its owner has to carry out.
 */
export class AgentCore {
  readonly #settings: AgentSettings;
  readonly #timing: AgentTiming;
  readonly #relay = new Relay();
  readonly #draining = new DrainingRunnerIds();
  readonly #confirmation: FreshnessConfirmation;
  readonly #proxies: FedProxies;
  readonly #controlNodes: ControlNodeChoice;
  readonly #session: ControlSession;
  readonly #crossRequests: CrossRequests;
  readonly #lag = new ConfigurationLag();
  /** The children and proxies that get updates from this agent, with the time of the last request of each. */
  readonly #children = new Map<string, Moment>();
  #effects: AgentEffect[] = [];
  #joinedAt: Moment;
  /** The parent in the relay tree; empty if it is the control node. */
  #parent = '';
  /** A failed parent that the control node has not been notified of yet; empty if there is none. */
  #failedParent = '';
  /** When the oldest unanswered request to the parent or the control node was sent. */
  #unansweredSince: Moment | undefined;
  #sentAck: Version = NO_VERSION;
  #updatesRequestedAt: Moment;

  /** Creates an agent at the current time `now`; its first `join` is due within the join interval. */
  constructor(settings: AgentSettings, now: Moment) {
    this.#settings = settings;
    this.#timing = settings.isDeployed ? DEPLOYED_TIMING : CONFIRMED_TIMING;
    this.#confirmation = new FreshnessConfirmation(settings.incarnation);
    this.#proxies = new FedProxies(settings.freshnessBoundMs, now);
    this.#controlNodes = new ControlNodeChoice(settings);
    this.#session = new ControlSession(this.#timing.controlTimeoutMs, now);
    this.#crossRequests = new CrossRequests(now);
    this.#updatesRequestedAt = now;
    this.#joinedAt = moment(now - FIRST_JOIN_ADVANCE_MS);
  }

  /** Adds the seeds of changed settings; they are used when no known voter replies. */
  setSeeds(seeds: readonly string[]): void {
    this.#controlNodes.setSeeds(seeds);
  }

  /** The newest state of each topic that this agent knows. */
  get relay(): Relay {
    return this.#relay;
  }

  /** The control node of the session. */
  get controlNode(): string {
    return this.#controlNodes.current;
  }

  /** The parent in the relay tree; empty if it is the control node. */
  get parent(): string {
    return this.#parent;
  }

  /** How often the session moved to another control node. */
  get sessionMoves(): number {
    return this.#session.moves;
  }

  /** A snapshot of this agent's state for its metrics. */
  metrics(now: Moment): AgentMetrics {
    const config = this.#relay.version('config');
    return {
      controlNode: this.controlNode,
      hasSession: this.#session.isOpen(now),
      sessionHeardAgeMs: this.#session.replyAgeMs(now),
      sessionMoves: this.#session.moves,
      isLeaderless: this.#session.isLeaderless,
      isUnderAgent: this.#parent !== '',
      proxies: this.#proxies.connected,
      configEpoch: config.epoch,
      configCount: config.count,
      versionsBehind: this.#lag.versions(config),
      behindMs: this.#lag.durationMs(now, config),
    };
  }

  /** Returns the effects since the last call, in order, and clears them. */
  drain(): AgentEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** Detects failures, and sends the requests and acknowledgements that are due. */
  tick(now: Moment): void {
    if (this.#session.isTimedOut(now)) this.#leaveControlNode(now);
    // The parent is reported as lost to the control node, which then assigns another one.
    if (this.#isParentOverdue(now)) this.#leaveParent(now);
    if (now >= later(this.#joinedAt, this.#timing.joinIntervalMs)) this.#join(now);
    this.#proxies.tick(now);
    for (const [child, at] of this.#children)
      if (now - at > CHILD_TIMEOUT_MS) this.#removeChild(child);
    this.#draining.tick(now);
    this.#sendAck();
    if (this.#settings.isDeployed) {
      this.#requestUpdates(now);
      this.#requestFromOtherControlNodes(now);
    } else this.#requestConfirmation(now);
    this.#flush();
  }

  /** Handles a message from a node or a proxy; `role` is the role of the sender. */
  onMessage(now: Moment, from: string, role: string, message: Message): void {
    switch (message.kind) {
      case 'assignParent':
        this.#onAssignParent(now, from, message);
        break;
      case 'update':
        this.#onUpdate(message);
        break;
      case 'delta':
        this.#onDelta(from, message);
        break;
      case 'leaving':
        this.#onDrainingRunners(now, message.runners);
        break;
      case 'freshnessRequest':
        this.#onFreshnessRequest(now, from, role, message);
        break;
      case 'freshnessReply':
        if (from === this.#upstream()) this.#onFreshnessReply(now, message);
        break;
      case 'ack':
        this.#proxies.onAck(from, message);
        this.#sendAck();
        break;
      case 'controlNodes':
        if (from === this.controlNode) this.#onControlNodes(now, message);
        break;
      case 'demand':
        this.#send(this.controlNode, message);
        break;
      default:
        break;
    }
    this.#flush();
  }

  /** Handles the close of the last connection to a node or a proxy. */
  onDisconnect(now: Moment, from: string): void {
    this.#removeChild(from);
    this.#proxies.onDisconnect(now, from);
    if (from === this.#parent) this.#leaveParent(now);
    if (from === this.controlNode) this.#leaveControlNode(now);
    else if (this.#controlNodes.isInOwnZone(from)) this.#controlNodes.avoid(now, from);
    this.#flush();
  }

  // The session with a control node

  #join(now: Moment): void {
    this.#joinedAt = now;
    const { me, zone } = this.#settings;
    const { epoch, count } = this.#ackedConfig();
    const lost = this.#failedParent;
    this.#send(this.controlNode, { kind: 'join', zone, address: me, epoch, count, lost });
    this.#failedParent = '';
  }

  #onControlNodes(now: Moment, message: Body<'controlNodes'>): void {
    this.#session.onReply(now);
    this.#lag.onAnnounced(now, message, this.#relay.version('config'));
    this.#controlNodes.setZones(message.controlNodes);
    // A control node that knows no leader may be partitioned from the others, and then receives no updates.
    this.#session.onLeader(message.leader);
    if (this.#session.hasLeaderlessControlNode) {
      this.#leaveControlNode(now);
      return;
    }
    if (this.#controlNodes.chooseInOwnZone(now)) {
      this.#onSessionMoved(now);
      return;
    }
    // The parent may have missed an update without noticing.
    const { epoch, count } = message;
    if (compareVersions({ epoch, count }, this.#relay.version('config')) > 0)
      this.#requestUpdatesFrom(this.controlNode);
  }

  #leaveControlNode(now: Moment): void {
    this.#controlNodes.avoid(now, this.controlNode);
    this.#controlNodes.chooseNext(now);
    this.#onSessionMoved(now);
  }

  #onSessionMoved(now: Moment): void {
    this.#session.onMoved(now);
    this.#setParent(now, '');
    this.#effects.push({ do: 'log', text: 'session', fields: { controlNode: this.controlNode } });
    this.#join(now);
  }

  // The parent in the relay tree

  #upstream(): string {
    return this.#parent === '' ? this.controlNode : this.#parent;
  }

  #onAssignParent(now: Moment, from: string, { parent }: Body<'assignParent'>): void {
    if (from !== this.controlNode) return;
    this.#session.onReply(now);
    if (parent !== this.#parent && parent !== this.#failedParent) this.#setParent(now, parent);
  }

  #isParentOverdue(now: Moment): boolean {
    return (
      this.#parent !== '' &&
      this.#unansweredSince !== undefined &&
      now - this.#unansweredSince > this.#timing.parentTimeoutMs
    );
  }

  #leaveParent(now: Moment): void {
    this.#failedParent = this.#parent;
    this.#setParent(now, '');
    this.#join(now);
  }

  #setParent(now: Moment, parent: string): void {
    this.#parent = parent;
    this.#unansweredSince = undefined;
    const requests = this.#confirmation.abort();
    if (this.#settings.isDeployed) {
      this.#updatesRequestedAt = moment(now - UPDATE_INTERVAL_MS);
      this.#requestUpdates(now);
      return;
    }
    // Confirmations that children wait for are requested again from the new parent.
    for (const request of requests) this.#confirmation.enqueue(request);
    this.#requestConfirmation(now);
  }

  // Updates from the parent or a control node

  #onUpdate({ topic, epoch, count, body }: Body<'update'>): void {
    const isNew = this.#relay.offer(topic, { epoch, count }, body);
    if (isNew && topic === 'config') this.#controlNodes.setVoters(votersOf(body));
  }

  #onDelta(from: string, { topic, epoch, count, from: base, body }: Body<'delta'>): void {
    const version = { epoch, count };
    if (this.#relay.offerDelta(topic, version, base, body)) return;
    // The delta is not based on the known version: an earlier update was lost in transit.
    if (compareVersions(version, this.#relay.version(topic)) > 0) this.#requestUpdatesFrom(from);
  }

  #requestUpdates(now: Moment): void {
    if (now < later(this.#updatesRequestedAt, UPDATE_INTERVAL_MS)) return;
    this.#updatesRequestedAt = now;
    this.#unansweredSince ??= now;
    this.#request(this.#upstream(), 0, []);
  }

  #requestFromOtherControlNodes(now: Moment): void {
    const { others } = this.#controlNodes;
    for (const node of this.#crossRequests.takeDue(now, others, this.#session.isMoving))
      this.#requestUpdatesFrom(node);
  }

  #requestUpdatesFrom(to: string): void {
    this.#request(to, UPDATES_ONLY, []);
  }

  // Freshness confirmation, outside deployments

  #requestConfirmation(now: Moment): void {
    if (this.#settings.isDeployed) return;
    const nonce = this.#confirmation.begin(now);
    if (nonce === undefined) return;
    this.#unansweredSince ??= now;
    // Lists all members that the reply makes fresh, connected or not: a commit waits until each has acknowledged.
    this.#request(this.#upstream(), nonce, [this.#settings.me, ...this.#confirmation.members()]);
  }

  #onFreshnessReply(now: Moment, message: Extract<Message, { kind: 'freshnessReply' }>): void {
    this.#unansweredSince = undefined;
    if (this.#settings.isDeployed) return;
    for (const { child, nonce } of this.#confirmation.complete(message.nonce))
      this.#send(child, { ...message, nonce });
    this.#requestConfirmation(now);
  }

  // Requests of children and proxies

  #onFreshnessRequest(
    now: Moment,
    from: string,
    role: string,
    { nonce, have, members }: Body<'freshnessRequest'>,
  ): void {
    this.#sendMissingRunners(from, have);
    if (role === 'flow') this.#proxies.onRequest(from);
    this.#relay.onKnownVersions(from, have);
    // A control node that has lost its state requests updates only, and does not become a child.
    if (nonce < 0) {
      this.#flush();
      this.#removeChild(from);
      return;
    }
    this.#children.set(from, now);
    this.#proxies.onKnownVersions(from, have);
    if (this.#settings.isDeployed) {
      const config = this.#relay.version('config');
      this.#send(from, { kind: 'freshnessReply', nonce, ...config, marks: 0 });
      return;
    }
    this.#confirmation.enqueue({ child: from, nonce, members });
    this.#requestConfirmation(now);
  }

  #removeChild(child: string): void {
    this.#children.delete(child);
    this.#relay.removeChild(child);
  }

  /** The newest configuration that all proxies have applied: that of this agent, or an older one. */
  #ackedConfig(): Version {
    return this.#proxies.acked(this.#relay.version('config'));
  }

  #sendAck(): void {
    const version = this.#ackedConfig();
    if (compareVersions(version, this.#sentAck) === 0) return;
    this.#sentAck = version;
    this.#send(this.controlNode, { kind: 'ack', ...version });
  }

  #flush(): void {
    for (const { to, message } of this.#relay.flush()) this.#send(to, message);
  }

  // Draining runners

  /** The ids are valid from any sender. Only new ones are forwarded, so that messages do not circulate. */
  #onDrainingRunners(now: Moment, ids: readonly string[]): void {
    const runners = this.#draining.add(now, ids);
    if (runners.length === 0) return;
    for (const child of this.#children.keys())
      this.#send(child, { kind: 'leaving', runners: [...runners] });
  }

  #sendMissingRunners(to: string, have: readonly KnownVersion[]): void {
    const runners = this.#draining.missingFrom(have);
    if (runners.length > 0) this.#send(to, { kind: 'leaving', runners: [...runners] });
  }

  // Sending

  #request(to: string, nonce: number, members: string[]): void {
    const have = [...this.#relay.knownVersions(), ...this.#draining.summary()];
    this.#send(to, { kind: 'freshnessRequest', nonce, have, members });
  }

  #send(to: string, message: Message): void {
    this.#effects.push({ do: 'send', to, message });
  }
}

/** All voters of a configuration, of both sets during a change of voters; empty if the configuration lists none. */
function votersOf(config: string): ReadonlySet<string> {
  return new Set(parseAs(VotersShape, config)?.voters.flat() ?? []);
}
