import { expect, test } from 'vitest';
import { ControlCore } from './control-core.js';
import { CONTROL_DEFAULTS } from './control-effect.js';
import { ControlReport } from './control-report.js';
import { monotonicNow } from '../common/clock.js';

const SEEDS = ['a:1', 'b:1', 'c:1'];

test('a report has the counts of completed and failed writes and the metrics of the core', async () => {
  const report = new ControlReport();
  await report.measure(Promise.resolve());
  await expect(report.measure(Promise.reject(new Error('full')))).rejects.toThrow('full');
  const settings = { ...CONTROL_DEFAULTS, me: 'a:1', zone: 'z', seeds: SEEDS, incarnation: 0 };
  const exposition = await report.render(new ControlCore(settings, [], monotonicNow()));
  expect(exposition?.body).toContain('haretrack_control_disk_writes_total 1\n');
  expect(exposition?.body).toContain('haretrack_control_disk_writes_failed_total 1\n');
  expect(exposition?.body).toContain('haretrack_control_replica_state{state="blank"} 1\n');
  expect(exposition?.body).toContain('haretrack_control_voters 3\n');
});
test('a process that has not started renders no metrics', async () => {
  expect(await new ControlReport().render(undefined)).toBeUndefined();
});
