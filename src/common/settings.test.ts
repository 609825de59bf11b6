import { expect, test } from 'vitest';
import { TableProxySettingsShape, TableAgentSettingsShape, readSettings } from './settings.js';
function keyOf(fault: string): string {
  return fault.split(':')[0] ?? '';
}
test('every fault of the settings is reported', () => {
  const { faults } = readSettings(TableAgentSettingsShape, undefined, {
    listen: 'localhost:1',
    feed: '127.0.0.1:99999',
    zone: 'A B',
    seeds: ['10.0.0.1:1'],
    more: 1,
  });
  expect(faults.map(keyOf)).toEqual(['listen', 'feed', 'zone', 'seeds', 'more']);
});
test('a setting that is not given has its default', () => {
  const { settings, faults } = readSettings(TableProxySettingsShape, undefined, {
    listen: '127.0.0.1:8080',
    link: '127.0.0.1:7001',
    zone: 'a',
    seeds: undefined,
  });
  expect(faults).toEqual([]);
  expect(settings?.blindMs).toBe(2500);
});
