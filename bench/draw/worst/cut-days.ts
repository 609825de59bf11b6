/** Days on which a control machine is cut off for a long time. */
import type { Day } from '../day.js';
import { repeatChanges } from './repeat.js';
import { LONG_CUT_SECONDS, WIPE_AFTER_ACK, WORST_DAY_SECONDS } from './shared.js';

/** Lists the days on which a control machine is cut off for twenty seconds while operators keep sending orders. */
export function listCutDays(): Day[] {
  const days: Day[] = [];
  const modes = [
    'leader race',
    'leader one_way meet',
    'leader one_way race hard',
    'leader reset meet race',
    'leader refuse race drain',
    'leader seeds meet',
    'leader both race',
    'reader meet race',
    'seed seeds hard',
  ];
  for (const shape of modes) days.push(makeCutDay(shape));
  return days;
}

function makeCutDay(mode: string): Day {
  return {
    name: `cut-${mode.replaceAll(' ', '-')}`,
    seed: seedOf(mode),
    lengthSeconds: WORST_DAY_SECONDS,
    closing: mode.includes('one_way') ? WIPE_AFTER_ACK : null,
    plan: [
      { at: 2, kind: 'config_change', how: 'route' },
      ...repeatChanges(7, 27, 1.9),
      { at: 12, kind: 'config_race', count: 4, gap_s: 1.1 },
      { at: 18, kind: 'evacuate', for_s: 5, how: 'warm' },
      { at: 36, kind: 'config_race', count: 3, gap_s: 0.9 },
    ],
    faults: [
      { at: 6, kind: 'core_cut', count: 1, for_s: LONG_CUT_SECONDS, how: mode },
      { at: 14, kind: 'clock_step', share: 0.4, x: 6000, for_s: 8, how: 'leader back' },
      { at: 20, kind: 'ack_lost', x: 0.6, for_s: 12 },
      { at: 36, kind: 'core_cut', count: 1, for_s: 8, how: mode },
      { at: 48, kind: 'node_freeze', on: 'core', count: 1, for_s: 5, how: 'leader meet race' },
    ],
  };
}

function seedOf(text: string): number {
  let seed = 7;
  for (const character of text) seed = (seed * 31 + character.charCodeAt(0)) % 1_000_003;
  return seed;
}
