import { expect, test } from 'vitest';
import { moment, nodeId, type Moment } from '../common/ids.js';
import { ControlNodeZones } from './control-node-zones.js';

const ME = nodeId('a');
const OTHER = nodeId('b');

/** Every node was last heard 100 ms after the start. */
function lastHeardAt(): Moment {
  return moment(100);
}
test('a node that has been silent for a second is described without its zone', () => {
  const zones = new ControlNodeZones(ME, 'east', { lastHeardAt });
  zones.onZoneReported('b', 'west');
  const reachable = [
    { id: ME, zone: 'east' },
    { id: OTHER, zone: 'west' },
  ];
  const silent = [
    { id: ME, zone: 'east' },
    { id: OTHER, zone: '' },
  ];
  expect(zones.describe(moment(1000), [ME, OTHER])).toEqual(reachable);
  expect(zones.describe(moment(1100), [ME, OTHER])).toEqual(silent);
  expect(zones.zoneOf('b')).toBe('west');
  expect(zones.zoneOf('c')).toBe('');
});
