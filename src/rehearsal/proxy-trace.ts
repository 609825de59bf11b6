import type { ConnectionProbeStep } from '../proxy/connection-probes.js';
import type { ForwardStep } from '../proxy/in-flight-requests.js';
import type { TraceValue } from './run-trace.js';

/**
 * What a proxy does, as a trace holds it: a word of the trace's own, then values in a fixed order. Where the code's
 * names change, only this mapping does; its words and the order of the values never change.
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

export function probeValues(step: ConnectionProbeStep): readonly TraceValue[] {
  return step.do === 'open' ? ['open', step.id, step.address, step.generation] : ['close', step.id];
}
