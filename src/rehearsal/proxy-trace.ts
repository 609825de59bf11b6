import type { ConnectionProbeStep } from '../proxy/connection-probes.js';
import type { ForwardStep } from '../proxy/in-flight-requests.js';
import type { TraceValue } from './run-trace.js';

/**
 * Returns a proxy's step in the format of traces: a name that only traces use, then values in a fixed order. When the
 * names in the code change, only this mapping follows; the names in traces and the order of the values never change.
 */
export function stepValues(step: ForwardStep): readonly TraceValue[] {
  switch (step.do) {
    case 'connect':
      return ['connect', step.id, step.attempt, step.verdict.runner, step.verdict.address];
    case 'write':
      return ['write', step.id, step.attempt];
    case 'forward':
      return ['pass', step.id, step.attempt, step.table];
    case 'complete':
      return ['finish', step.id, step.attempt];
    case 'abort':
      return ['break', step.id];
    case 'cancel':
      return ['cancel', step.id, step.attempt];
    case 'respondError':
      return ['reject', step.id, step.kind, step.text, step.retryMs];
  }
}

/** Returns a step of a proxy's connection probe in the format of traces. */
export function probeValues(step: ConnectionProbeStep): readonly TraceValue[] {
  return step.do === 'open' ? ['open', step.id, step.address, step.generation] : ['close', step.id];
}
