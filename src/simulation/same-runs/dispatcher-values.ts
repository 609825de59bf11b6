import type { DispatchCounts } from '../../proxy/dispatch-counts.js';
import type { DispatchEffect, RejectReason } from '../../proxy/dispatcher.js';
import type { TraceValue } from '../../rehearsal/run-trace.js';

/** The reasons as a trace names them, whatever the code calls them. */
const REASONS: Readonly<Record<RejectReason, string>> = {
  'no-config': 'no configuration',
  'no-route': 'no route',
  'no-runner': 'no runner',
  full: 'full',
  late: 'late',
  'not-loaded': 'not loaded',
};

/**
 * What the dispatcher does, as a trace holds it: a word of the trace's own, then values in a fixed order. Where the
 * code's names change, only this mapping does; its words and the order of the values never change.
 */
export function effectValues(effect: DispatchEffect): readonly TraceValue[] {
  switch (effect.do) {
    case 'send': {
      const { id, attempt, runner, address, timeLeftMs, urgency } = effect;
      const { isBuffered, isResumable, needsNewConnection: isFresh } = effect;
      const how = [timeLeftMs, urgency, isBuffered, isResumable, isFresh];
      return ['send', id, attempt, runner, address, ...how];
    }
    case 'reject':
      return ['reject', effect.id, REASONS[effect.reason], effect.retryAfterMs];
    case 'fail':
      return ['fail', effect.id, effect.isTimeout];
    case 'forward':
      return ['pass', effect.id, effect.attempt];
    case 'cancel':
      return ['cancel', effect.id, effect.attempt];
  }
}

/** What the dispatcher has counted, in a fixed order. */
export function countValues(counts: DispatchCounts): readonly TraceValue[] {
  const { requests, retries, refused, failed, resumed, misses, waits } = counts;
  return [requests, retries, refused, failed, resumed, misses, waits];
}
