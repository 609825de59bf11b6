/** Long days with hundreds of configuration changes. */
import type { ClosingFault, Day, DayEvent } from '../day.js';
import type { Site } from '../site.js';
import { repeatRaces } from './repeat.js';
import { KILL_ALL, LONG_CUT_SECONDS, POWER_OFF, WIPE_AFTER_ACK } from './shared.js';

const LONG_DAY_SECONDS = 130;

/** Lists the days with hundreds of changes and members that return or are new. */
export function listLongDays(site: Site): Day[] {
  const count = site.toleratedMachines;
  const storms: DayEvent[] = [];
  for (let at = 3; at < LONG_DAY_SECONDS - 12; at += 12) {
    storms.push({ at, kind: 'config_storm', for_s: 9, gap_s: 0.15 });
  }
  const faults: DayEvent[] = [
    { at: 14, kind: 'core_cut', count: 1, for_s: LONG_CUT_SECONDS, how: 'one_way' },
    { at: 38, kind: 'replace_core', x: 1, how: 'leader planned' },
    { at: 46, kind: 'after_ack_wipe', count, for_s: 2 },
    { at: 55, kind: 'node_kill', on: 'core', count: 1, for_s: 15, how: 'power' },
    { at: 74, kind: 'replace_core', x: 2, how: 'leader' },
    { at: 82, kind: 'after_ack_wipe', count, for_s: 1 },
    { at: 90, kind: 'core_cut', count: 1, for_s: LONG_CUT_SECONDS, how: 'leader race' },
    { at: 113, kind: 'herd_kill', on: 'core', how: 'power' },
    { at: 119, kind: 'after_ack_kill', count: 1, for_s: 2, how: 'timed' },
  ];
  const bigConfig: DayEvent = { at: 2, kind: 'big_config', count: 300 };
  return [
    makeLongDay('hundreds-of-changes-then-power', 4401, POWER_OFF, storms, faults),
    makeLongDay('hundreds-of-changes-then-wipe', 4402, WIPE_AFTER_ACK, storms, faults),
    makeLongDay('hundreds-of-changes-many-routes', 4403, KILL_ALL, [bigConfig, ...storms], faults),
  ];
}

function makeLongDay(
  name: string,
  seed: number,
  closing: ClosingFault,
  storms: readonly DayEvent[],
  faults: readonly DayEvent[],
): Day {
  const plan = [...storms, ...repeatRaces(13, 115, 12)];
  return { name, seed, lengthSeconds: LONG_DAY_SECONDS, closing, plan, faults };
}
