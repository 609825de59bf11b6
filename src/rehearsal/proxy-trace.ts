import type { ConnectionProbeStep } from '../proxy/connection-probes.js';
import type { Step } from '../proxy/in-flight-requests.js';
import type { TraceValue } from './run-trace.js';

/**
 * What a proxy does, as a trace holds it: a word of the trace's own, then values in a fixed order. Where the code's
 * names change, only this mapping does; its words and the order of the values never change.
 */
export function stepValues(step: Step): readonly TraceValue[] {
  switch (step.do) {
    case 'connect':
      return ['connect', step.id, step.attempt, step.verdict.runner, step.verdict.address];
    case 'write':
      return ['write', step.id, step.attempt];
    case 'pass':
      return ['pass', step.id, step.attempt, step.table];
    case 'finish':
      return ['finish', step.id, step.attempt];
    case 'breakOff':
      return ['break', step.id];
    case 'cancel':
      return ['cancel', step.id, step.attempt];
    case 'tell':
      return ['reject', step.id, step.kind, step.text, step.retryMs];
  }
}

export function probeValues(step: ConnectionProbeStep): readonly TraceValue[] {
  return step.do === 'open' ? ['open', step.id, step.address, step.count] : ['close', step.id];
}
