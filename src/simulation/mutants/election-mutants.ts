import { number, string, type } from 'superstruct';
import { moment, type Moment, type PartitionName } from '../../common/ids.js';
import { parseAs } from '../../common/json.js';
import type { Message } from '../../common/messages.js';
import type { Version } from '../../common/version.js';
import type { ControlEffect } from '../../control/control-effect.js';
import { VOTE_RECORD } from '../../state/partition-names.js';
import type { StoredPartition } from '../../state/store.js';
import type { ControlInputs } from '../core-factory.js';
import { InterceptedControl, type ReceivedMessage } from './intercepted-control.js';

const VoteBodyShape = type({ epoch: number(), grantEpoch: number(), grantLeader: string() });

/** Mutants of control nodes that elect leaders, or grant or hold leases, incorrectly. */

/** Leaves no gap without orders between two lease holders. */
export class SkipsHandoverGap extends InterceptedControl {
  constructor(inputs: ControlInputs) {
    super({ ...inputs, vote: { ...inputs.vote, handoverGapMs: 0 } });
  }
}

/** Counts its renewal requests as granted by every recipient. */
export class RenewsItself extends InterceptedControl {
  protected override interceptEffect(effect: ControlEffect): readonly ControlEffect[] {
    if (effect.do === 'send' && effect.message.kind === 'renew') {
      const { epoch, nonce } = effect.message;
      this.injectMessage(effect.to, { kind: 'renewed', epoch, nonce });
    }
    return [effect];
  }
}

/** Grants an epoch without reporting how long older promises remain binding. */
export class OmitsLeaseWait extends InterceptedControl {
  protected override interceptEffect(effect: ControlEffect): readonly ControlEffect[] {
    if (effect.do !== 'send' || effect.message.kind !== 'granted') return [effect];
    return [{ ...effect, message: { ...effect.message, wait: 0 } }];
  }
}

/** Defers to any candidate and grants an epoch to any node that asks, even if another one holds it already. */
export class GrantsTwice extends InterceptedControl {
  protected override interceptMessage(from: string, message: Message): readonly ReceivedMessage[] {
    const { record } = this.elector;
    if (message.kind === 'propose' && message.epoch === record.epoch) {
      this.sendMessage(from, { kind: 'defer', epoch: message.epoch, reports: [] });
    } else if (message.kind === 'victory' && message.epoch === record.grantEpoch) {
      const { epoch, nonce } = message;
      if (record.grantLeader !== from)
        this.sendMessage(from, { kind: 'granted', epoch, wait: 0, nonce, reports: [] });
    }
    return [{ from, message }];
  }
}

/** Leads after an election in which only a minority deferred to it: every node that it told counts as a grant. */
export class WinsWithoutMajority extends InterceptedControl {
  protected override interceptEffect(effect: ControlEffect): readonly ControlEffect[] {
    if (effect.do === 'send' && effect.message.kind === 'victory') {
      const { epoch, nonce } = effect.message;
      this.injectMessage(effect.to, { kind: 'granted', epoch, wait: 0, nonce, reports: [] });
    }
    return [effect];
  }
}

/** Forgets at a restart to which node it granted its last epoch, and what it promised. */
export class ForgetsGrants extends InterceptedControl {
  constructor(inputs: ControlInputs) {
    super({ ...inputs, stored: inputs.stored.map(withoutGrant) });
  }
}

function withoutGrant(stored: StoredPartition): StoredPartition {
  const record = stored.partition === VOTE_RECORD ? parseAs(VoteBodyShape, stored.body) : undefined;
  if (!record) return stored;
  const body = JSON.stringify({ epoch: record.epoch, grantEpoch: 0, grantLeader: '' });
  return { ...stored, body };
}

/** By how much, and how often, the wall clock is set back and forth again. */
const CLOCK_STEP_MS = 4000;
const CLOCK_STEP_INTERVAL_MS = 5000;

/** Measures all time spans by a wall clock that is set back and forth. */
export class LeasesByWallClock extends InterceptedControl {
  /** How far the wall clock was behind the monotonic clock at the current input. */
  #clockLagMs = 0;

  constructor(inputs: ControlInputs) {
    super({ ...inputs, now: wallClock(inputs.now) });
  }

  override mayOrder(now: Moment): boolean {
    return super.mayOrder(this.#readWallClock(now));
  }

  /** The sender of orders uses the monotonic clock. */
  override leaseEnd(): Moment {
    return moment(super.leaseEnd() + this.#clockLagMs);
  }

  override tick(now: Moment): void {
    super.tick(this.#readWallClock(now));
  }

  override onMessage(now: Moment, from: string, message: Message, zone: string = ''): void {
    super.onMessage(this.#readWallClock(now), from, message, zone);
  }

  override onDisconnect(now: Moment, from: string): void {
    super.onDisconnect(this.#readWallClock(now), from);
  }

  override onPersisted(now: Moment, partition: PartitionName, version: Version): void {
    super.onPersisted(this.#readWallClock(now), partition, version);
  }

  override onCommand(now: Moment, id: number, verb: string, body: string): void {
    super.onCommand(this.#readWallClock(now), id, verb, body);
  }

  override retire(now: Moment): boolean {
    return super.retire(this.#readWallClock(now));
  }

  #readWallClock(now: Moment): Moment {
    const wall = wallClock(now);
    this.#clockLagMs = now - wall;
    return wall;
  }
}

function wallClock(now: Moment): Moment {
  const steps = Math.floor(now / CLOCK_STEP_INTERVAL_MS);
  return moment(now - (steps % 2) * CLOCK_STEP_MS);
}
