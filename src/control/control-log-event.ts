/**
 * The log events of a control node: a closed list with their fields. An event's name is the `msg` of its log line, its
 * other members are fields of that line. `docs/operators/log-events.md` says what operators do about each.
 */

import type { Logger } from 'pino';
import type { ErrorCode } from '../common/errors.js';
import type { Intent } from '../placement/shapes.js';
import type { ReplicaStatusName } from '../state/replica-status.js';

/** An event that the core reports, in simulations as well. */
export type CoreLogEvent =
  /** This node starts a new cluster: all seeds are blank, and no agent knows a state, or an operator forced it. */
  | { readonly event: 'cluster formed' }
  /** The state was read from the peers; it is being written to this node's disk. */
  | { readonly event: 'replica read from peers'; readonly epoch: number }
  /** The replica is complete on disk, and this node votes. */
  | { readonly event: 'replica became healthy' }
  /** The leader that this node knows has changed; `leader` is `none` while none is known. */
  | { readonly event: 'leader changed'; readonly leader: string; readonly epoch: number }
  /** This node leads, and has read the complete state from a majority. */
  | { readonly event: 'serving started'; readonly epoch: number }
  /** The number of proxies by which this leader divides fleet-wide limits has changed. */
  | { readonly event: 'proxy count changed'; readonly count: number }
  /** Configuration `number`, which was no longer on disk at a majority, was restored from agents and proxies. */
  | { readonly event: 'configuration recovered'; readonly number: number }
  /** The leader wrote another voter set; sets of a joint change are separated by ` | `. */
  | { readonly event: 'voters changed'; readonly from: string; readonly to: string }
  /** Another control node reported newer voters than this node knew, of the configuration with this version. */
  | {
      readonly event: 'voters reported';
      readonly by: string;
      readonly voters: string;
      readonly version: string;
    };

/** An event of the process around the core. */
export type ProcessLogEvent =
  | { readonly event: 'control node started'; readonly replicaStatus: ReplicaStatusName }
  /** An order to a runner ended; `outcome` is the one that the order's sender returned. */
  | ({ readonly event: 'order sent'; readonly order: string; readonly outcome: string } & Pick<
      Intent,
      'verb' | 'model' | 'adapter' | 'runner'
    >)
  /** The platform's list of runners could not be read; the list known so far stays in use. */
  | { readonly event: 'runner list read failed'; readonly reason: string }
  | { readonly event: 'platform became reachable' }
  | { readonly event: 'platform became unreachable'; readonly reason: string }
  /** A connection, a message or a write failed; the node continues. */
  | { readonly event: 'operation failed'; readonly code: ErrorCode; readonly reason: string }
  /** The core threw on an input. The input is dropped; `stack` belongs in a bug report. */
  | { readonly event: 'input failed'; readonly stack: string };

/** Every event of a control node's log. */
export type ControlLogEvent = CoreLogEvent | ProcessLogEvent;

/** The event by which a serving leader is found in the logs. */
export const SERVING_STARTED = 'serving started' satisfies CoreLogEvent['event'];

/** Writes an event as one line. */
export function logControlEvent(log: Logger, logEvent: ControlLogEvent): void {
  const { event, ...fields } = logEvent;
  switch (event) {
    case 'input failed':
      log.error(fields, event);
      break;
    case 'operation failed':
      log.warn(fields, event);
      break;
    default:
      log.info(fields, event);
      break;
  }
}
