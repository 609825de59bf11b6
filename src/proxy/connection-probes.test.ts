import { expect, test } from 'vitest';
import { type Moment, moment } from '../common/ids.js';
import {
  type ConnectionProbeStep,
  type BackendStateListener,
  ConnectionProbes,
} from './connection-probes.js';

class RecordingListener implements BackendStateListener {
  readonly events: string[] = [];
  onBackendDown(now: Moment, id: string): void {
    this.events.push(`${now} ${id} down`);
  }
  onBackendUp(now: Moment, id: string): void {
    this.events.push(`${now} ${id} up`);
  }
}
function generationOf(steps: readonly ConnectionProbeStep[]): number {
  const [step] = steps;
  return step?.do === 'open' ? step.generation : -1;
}
test('a back end that was down is distinguished from one that closed an idle connection', () => {
  const listener = new RecordingListener();
  const probes = new ConnectionProbes(listener);
  probes.setBackends(moment(0), [{ id: 'k', address: 'k:1' }]);
  probes.onOpen(moment(1), 'k', generationOf(probes.drainSteps()));
  // The back end closes the idle connection, and accepts the next one immediately: it was not down.
  probes.onClose(moment(60_000), 'k', 1);
  probes.onOpen(moment(60_001), 'k', generationOf(probes.drainSteps()));
  expect(listener.events).toEqual([]);
  // Its process ends: connections are refused until a new process accepts one.
  probes.onClose(moment(70_000), 'k', 2);
  probes.onClose(moment(70_001), 'k', generationOf(probes.drainSteps()));
  probes.tick(moment(70_100));
  expect(probes.drainSteps()).toEqual([]);
  probes.tick(moment(70_300));
  probes.onOpen(moment(70_301), 'k', generationOf(probes.drainSteps()));
  expect(listener.events).toEqual(['70001 k down', '70301 k up']);
  // Its machine is gone: the connection does not close, but a new one is neither accepted nor refused.
  probes.tick(moment(71_400));
  expect(generationOf(probes.drainSteps())).toBe(5);
  probes.tick(moment(71_900));
  expect(generationOf(probes.drainSteps())).toBe(6);
  expect(listener.events.slice(2)).toEqual(['71900 k down']);
  probes.setBackends(moment(80_000), []);
  expect(probes.drainSteps()).toEqual([{ do: 'close', id: 'k' }]);
});
