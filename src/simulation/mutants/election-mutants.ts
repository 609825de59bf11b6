import { number, string, type } from 'superstruct';
import { moment, type Moment, type PartitionName } from '../../common/ids.js';
import { parseAs } from '../../common/json.js';
import type { Message } from '../../common/messages.js';
import type { Version } from '../../common/version.js';
import type { ControlEffect } from '../../control/control-effect.js';
import { VOTE_RECORD } from '../../state/partition-names.js';
import type { StoredPartition } from '../../state/store.js';
import type { ControlInputs } from '../core-build.js';
import { InterceptedControl, type Heard } from './intercepted-control.js';

const VoteBodyShape = type({ epoch: number(), grantEpoch: number(), grantLeader: string() });

/** Control nodes that elect, grant or hold leases wrongly. */

/** Leaves no span without orders between two holders. */
export class LeavesNoGap extends InterceptedControl {
  constructor(inputs: ControlInputs) {
    super({ ...inputs, vote: { ...inputs.vote, handoverGapMs: 0 } });
  }
}

/** Counts its own renewals as granted by everybody. */
export class RenewsItself extends InterceptedControl {
  protected override carryOut(effect: ControlEffect): readonly ControlEffect[] {
    if (effect.do === 'send' && effect.message.kind === 'renew') {
      const { epoch, nonce } = effect.message;
      this.pretend(effect.to, { kind: 'renewed', epoch, nonce });
    }
    return [effect];
  }
}

/** Grants an epoch without telling how long older promises bind. */
export class HidesPromises extends InterceptedControl {
  protected override carryOut(effect: ControlEffect): readonly ControlEffect[] {
    if (effect.do !== 'send' || effect.message.kind !== 'granted') return [effect];
    return [{ ...effect, message: { ...effect.message, wait: 0 } }];
  }
}

/** Defers to whoever proposes itself and grants an epoch to whoever asks, also to a second one. */
export class GrantsTwice extends InterceptedControl {
  protected override hear(from: string, message: Message): readonly Heard[] {
    const { record } = this.elector;
    if (message.kind === 'propose' && message.epoch === record.epoch) {
      this.say(from, { kind: 'defer', epoch: message.epoch, reports: [] });
    } else if (message.kind === 'victory' && message.epoch === record.grantEpoch) {
      const { epoch, nonce } = message;
      if (record.grantLeader !== from)
        this.say(from, { kind: 'granted', epoch, wait: 0, nonce, reports: [] });
    }
    return [{ from, message }];
  }
}

/** Takes the outcome of an election that a minority has deferred to. */
export class WinsByOne extends InterceptedControl {
  protected override carryOut(effect: ControlEffect): readonly ControlEffect[] {
    if (effect.do === 'send' && effect.message.kind === 'victory') {
      const { epoch, nonce } = effect.message;
      this.pretend(effect.to, { kind: 'granted', epoch, wait: 0, nonce, reports: [] });
    }
    return [effect];
  }
}

/** Forgets at a restart whom it granted its last epoch, and what it promised. */
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

/** The wall clock is set back by so much, so often. */
const STEP_MS = 4000;
const STEP_EVERY_MS = 5000;

/** Measures its spans by a wall clock, which is set back and forth. */
export class LeasesByWallClock extends InterceptedControl {
  /** How far the wall clock is behind at the input that is being worked on. */
  #behindMs = 0;

  constructor(inputs: ControlInputs) {
    super({ ...inputs, now: wallClock(inputs.now) });
  }

  override mayOrder(now: Moment): boolean {
    return super.mayOrder(this.#read(now));
  }

  /** The sender of orders counts by a clock that runs evenly. */
  override leaseEnd(): Moment {
    return moment(super.leaseEnd() + this.#behindMs);
  }

  override tick(now: Moment): void {
    super.tick(this.#read(now));
  }

  override onMessage(now: Moment, from: string, message: Message, zone: string = ''): void {
    super.onMessage(this.#read(now), from, message, zone);
  }

  override onDisconnect(now: Moment, from: string): void {
    super.onDisconnect(this.#read(now), from);
  }

  override onPersisted(now: Moment, partition: PartitionName, version: Version): void {
    super.onPersisted(this.#read(now), partition, version);
  }

  override onCommand(now: Moment, id: number, verb: string, body: string): void {
    super.onCommand(this.#read(now), id, verb, body);
  }

  override retire(now: Moment): boolean {
    return super.retire(this.#read(now));
  }

  #read(now: Moment): Moment {
    const wall = wallClock(now);
    this.#behindMs = now - wall;
    return wall;
  }
}

function wallClock(now: Moment): Moment {
  const steps = Math.floor(now / STEP_EVERY_MS);
  return moment(now - (steps % 2) * STEP_MS);
}
