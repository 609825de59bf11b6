import type { DispatchCounts } from '../../proxy/dispatch-counts.js';
import type { DispatchEffect, RejectReason } from '../../proxy/dispatcher.js';
import type { TraceValue } from '../../rehearsal/run-trace.js';

/** The names of the reasons in a trace, independent of the names in the code. */
const REASONS: Readonly<Record<RejectReason, string>> = {
  'no-config': 'no configuration',
  'no-route': 'no route',
  'no-runner': 'no runner',
  full: 'full',
  late: 'late',
  'not-loaded': 'not loaded',
};

/**
 * Returns an effect of the dispatcher as a trace records it: a name defined by the trace, then values in a fixed order.
 * If names in the code change, only this mapping changes; the names in the trace and the order of the values never do.
 */
export function effectValues(effect: DispatchEffect): readonly TraceValue[] {
  switch (effect.do) {
    case 'send': {
      const { id, attempt, runner, address, timeLeftMs, urgency } = effect;
      const { isBuffered, isResumable, needsNewConnection: isNewConnection } = effect;
      const details = [timeLeftMs, urgency, isBuffered, isResumable, isNewConnection];
      return ['send', id, attempt, runner, address, ...details];
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

/** Returns the counters of the dispatcher in a fixed order. */
export function countValues(counts: DispatchCounts): readonly TraceValue[] {
  const { requests, retries, refused, failed, resumed, misses, waits } = counts;
  return [requests, retries, refused, failed, resumed, misses, waits];
}
