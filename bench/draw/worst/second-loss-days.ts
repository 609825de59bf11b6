/** Days on which a loss follows a repair or a replacement. */
import type { Day } from '../day.js';
import type { Site } from '../site.js';
import { repeatChanges } from './repeat.js';
import { POWER_OFF, WIPE_AFTER_ACK, WIPE_AFTER_ACK_TIMED, WORST_DAY_SECONDS } from './shared.js';

/** Lists the days with a second loss right after a repair or a replacement. */
export function listSecondLossDays(site: Site): Day[] {
  const count = site.toleratedMachines;
  return [
    {
      name: 'loss-after-replacement',
      seed: 3301,
      lengthSeconds: WORST_DAY_SECONDS,
      closing: WIPE_AFTER_ACK,
      plan: repeatChanges(2, 50, 3.1),
      faults: [
        { at: 4, kind: 'replace_core', x: 1, how: 'leader planned' },
        { at: 9, kind: 'after_ack_wipe', count, for_s: 2 },
        { at: 17, kind: 'replace_core', x: 0.5, how: 'leader' },
        { at: 21.5, kind: 'after_ack_kill', count, for_s: 2, how: 'kill' },
        { at: 28, kind: 'replace_core', x: 2, how: 'seed planned' },
        { at: 33, kind: 'after_ack_wipe', count, for_s: 1 },
        { at: 40, kind: 'node_kill', on: 'core', count, for_s: 4, how: 'power leader hard' },
        { at: 49, kind: 'after_ack_wipe', count, for_s: 1, how: 'timed' },
      ],
    },
    {
      name: 'loss-after-repair',
      seed: 3302,
      lengthSeconds: WORST_DAY_SECONDS,
      closing: POWER_OFF,
      plan: [...repeatChanges(2, 52, 2.3), { at: 20, kind: 'seed_turnover' }],
      faults: [
        { at: 4, kind: 'after_ack_wipe', count, for_s: 0.5 },
        { at: 9, kind: 'after_ack_wipe', count, for_s: 0.5, how: 'timed' },
        { at: 14, kind: 'after_ack_wipe', count, for_s: 0.5 },
        { at: 19, kind: 'after_ack_kill', count, for_s: 0.5, how: 'timed' },
        { at: 24, kind: 'after_ack_wipe', count, for_s: 3 },
        { at: 24.5, kind: 'disk_slow', count: 1, x: 40, for_s: 6, how: 'leader' },
        { at: 36, kind: 'herd_kill', on: 'core', how: 'power' },
        { at: 41, kind: 'after_ack_wipe', count, for_s: 1 },
        { at: 46, kind: 'after_ack_wipe', count, for_s: 1 },
      ],
    },
    {
      name: 'loss-while-members-leave',
      seed: 3303,
      lengthSeconds: WORST_DAY_SECONDS,
      closing: WIPE_AFTER_ACK_TIMED,
      plan: [
        ...repeatChanges(2, 52, 2.7),
        { at: 8, kind: 'roll_term', on: 'core', x: 1, gap_s: 4, share: 1, how: '' },
        { at: 30, kind: 'roll_term', on: 'core', x: 1, gap_s: 5, share: 0.4, how: 'remove' },
      ],
      faults: [
        { at: 9, kind: 'replace_core', x: 1, how: 'planned' },
        { at: 12, kind: 'node_kill', on: 'core', count: 1, for_s: 3, how: 'leader race' },
        { at: 23, kind: 'replace_core', x: 0.3, how: 'leader planned' },
        { at: 24, kind: 'core_cut', count: 1, for_s: 5, how: 'leader race' },
        { at: 44, kind: 'after_ack_wipe', count, for_s: 1 },
        { at: 50, kind: 'node_kill', on: 'core', count, for_s: 3, how: 'power leader' },
      ],
    },
    {
      name: 'loss-in-a-cut',
      seed: 3304,
      lengthSeconds: WORST_DAY_SECONDS,
      closing: WIPE_AFTER_ACK,
      plan: [...repeatChanges(2, 52, 2.1), { at: 25, kind: 'config_race', count: 3, gap_s: 1 }],
      faults: [
        { at: 5, kind: 'core_cut', count: 1, for_s: 12, how: 'one_way' },
        { at: 18, kind: 'after_ack_wipe', count, for_s: 1 },
        { at: 26, kind: 'zone_loss', zone: site.zones[0] ?? '', for_s: 4 },
        { at: 33, kind: 'replace_core', x: 1, how: 'reader' },
        { at: 38, kind: 'zone_cut', zone: site.zones[1] ?? '', for_s: 6 },
        { at: 46, kind: 'disk_full', count: 1, for_s: 5, how: 'leader' },
        { at: 52, kind: 'after_ack_kill', count, for_s: 1, how: 'taken' },
      ],
    },
  ];
}
