/** Days with two concurrent operators, lost responses and retried orders. */
import type { Day, DayEvent } from '../day.js';
import { repeatEvacuations, repeatFreezes, repeatRaces, repeatShortEvacuations } from './repeat.js';
import { KILL_ALL, POWER_OFF, WIPE_AFTER_ACK_TIMED, WORST_DAY_SECONDS } from './shared.js';

/** Lists the days with two concurrent operators and orders retried after a lost response. */
export function listOperatorDays(): Day[] {
  const races = repeatRaces(3, 44, 6);
  const ackLoss: DayEvent = { at: 2, kind: 'ack_lost', x: 0.8, for_s: 44 };
  return [
    {
      name: 'operators-race-and-freeze',
      seed: 2201,
      lengthSeconds: WORST_DAY_SECONDS,
      closing: POWER_OFF,
      plan: [...races, { at: 30, kind: 'bad_config', count: 3, gap_s: 0.8, how: 'same_version' }],
      faults: [
        ackLoss,
        {
          at: 8,
          kind: 'node_freeze',
          on: 'core',
          count: 1,
          for_s: 6,
          how: 'leader meet race hard',
        },
        { at: 20, kind: 'node_freeze', on: 'core', count: 1, for_s: 2.2, how: 'leader race' },
        { at: 30, kind: 'node_freeze', on: 'core', count: 1, for_s: 4, how: 'leader meet race' },
        { at: 41, kind: 'node_freeze', on: 'core', count: 1, for_s: 1.6, how: 'leader race hard' },
      ],
    },
    {
      name: 'operators-race-and-kill',
      seed: 2202,
      lengthSeconds: WORST_DAY_SECONDS,
      closing: WIPE_AFTER_ACK_TIMED,
      plan: [...races, { at: 24, kind: 'bad_config', count: 3, gap_s: 0.8, how: 'stale_match' }],
      faults: [
        ackLoss,
        { at: 8, kind: 'after_ack_kill', count: 1, for_s: 1.5, how: 'timed' },
        { at: 15, kind: 'node_kill', on: 'core', count: 1, for_s: 2, how: 'leader race hard' },
        { at: 22, kind: 'reset_conns', on: 'core', count: 1, x: 1, how: 'leader' },
        { at: 24, kind: 'after_ack_kill', count: 1, for_s: 1, how: 'kill' },
        { at: 31, kind: 'after_ack_kill', count: 1, for_s: 1, how: 'timed' },
        { at: 38, kind: 'node_kill', on: 'core', count: 1, for_s: 0.4, how: 'leader meet race' },
        { at: 44, kind: 'herd_kill', on: 'core', how: '' },
      ],
    },
    {
      name: 'operators-race-and-cut',
      seed: 2203,
      lengthSeconds: WORST_DAY_SECONDS,
      closing: KILL_ALL,
      plan: [...races, { at: 12, kind: 'bad_config', count: 4, gap_s: 0.5, how: 'old_version' }],
      faults: [
        ackLoss,
        { at: 7, kind: 'core_cut', count: 1, for_s: 3, how: 'leader race hard' },
        { at: 14, kind: 'core_cut', count: 1, for_s: 2, how: 'leader one_way race' },
        { at: 21, kind: 'core_cut', count: 1, for_s: 4, how: 'leader reset race meet' },
        { at: 30, kind: 'disk_stall', count: 1, for_s: 4, how: 'leader' },
        { at: 36, kind: 'disk_full', count: 1, for_s: 5, how: 'leader' },
        { at: 44, kind: 'core_cut', count: 1, for_s: 5, how: 'leader one_way meet race' },
      ],
    },
    {
      name: 'operators-evacuate-while-called-nodes-freeze',
      seed: 2205,
      lengthSeconds: WORST_DAY_SECONDS,
      closing: null,
      plan: repeatShortEvacuations(3, 46, 4.3),
      faults: [{ at: 2, kind: 'ack_lost', x: 0.9, for_s: 50 }, ...repeatFreezes(3, 48, 4.3)],
    },
    {
      name: 'operators-evacuate-and-lose-answers',
      seed: 2204,
      lengthSeconds: WORST_DAY_SECONDS,
      closing: null,
      plan: repeatEvacuations(4, 46, 7),
      faults: [
        ackLoss,
        { at: 5, kind: 'node_freeze', on: 'core', count: 1, for_s: 5, how: 'leader' },
        { at: 13, kind: 'core_cut', count: 1, for_s: 6, how: 'leader one_way' },
        { at: 24, kind: 'node_freeze', on: 'core', count: 1, for_s: 8, how: 'reader' },
        { at: 35, kind: 'core_cut', count: 1, for_s: 6, how: 'leader' },
        { at: 45, kind: 'after_ack_kill', count: 1, for_s: 2, how: 'kill' },
      ],
    },
  ];
}
