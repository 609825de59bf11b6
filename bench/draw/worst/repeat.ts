/** Series of events at regular intervals, used by the fixed days; all times are in seconds of the day. */
import type { DayEvent } from '../day.js';

/** Configuration changes that cycle through the types of change. */
export function repeatChanges(
  firstSeconds: number,
  lastSeconds: number,
  gapSeconds: number,
): DayEvent[] {
  const modes = ['timeout', 'route', 'weights', 'idle'] as const;
  const changes: DayEvent[] = [];
  for (let index = 0; firstSeconds + index * gapSeconds <= lastSeconds; index += 1) {
    const how = modes[index % modes.length] ?? 'timeout';
    changes.push({ at: firstSeconds + index * gapSeconds, kind: 'config_change', how });
  }
  return changes;
}

/** Races between two operators. */
export function repeatRaces(
  firstSeconds: number,
  lastSeconds: number,
  gapSeconds: number,
): DayEvent[] {
  const races: DayEvent[] = [];
  for (let at = firstSeconds; at <= lastSeconds; at += gapSeconds) {
    races.push({ at, kind: 'config_race', count: 4, gap_s: 0.7 });
  }
  return races;
}

/** Evacuations of zones that the day's seed selects. */
export function repeatEvacuations(
  firstSeconds: number,
  lastSeconds: number,
  gapSeconds: number,
): DayEvent[] {
  const evacuations: DayEvent[] = [];
  for (let at = firstSeconds; at <= lastSeconds; at += gapSeconds) {
    evacuations.push({ at, kind: 'evacuate', for_s: 3.5, how: 'warm' });
  }
  return evacuations;
}

/** Evacuations that are revoked soon, so that a late copy of either order would be detected. */
export function repeatShortEvacuations(
  firstSeconds: number,
  lastSeconds: number,
  gapSeconds: number,
): DayEvent[] {
  const evacuations: DayEvent[] = [];
  for (let at = firstSeconds; at <= lastSeconds; at += gapSeconds) {
    evacuations.push({ at, kind: 'evacuate', for_s: 1.6, how: 'warm' });
  }
  return evacuations;
}

/** Short freezes of one control machine each, each beginning shortly after an order was sent. */
export function repeatFreezes(
  firstSeconds: number,
  lastSeconds: number,
  gapSeconds: number,
): DayEvent[] {
  const selectors = ['', 'seed', 'leader', 'reader'] as const;
  const freezes: DayEvent[] = [];
  for (let index = 0; firstSeconds + index * gapSeconds <= lastSeconds; index += 1) {
    const at = Math.round((firstSeconds + index * gapSeconds + 0.005 * index) * 1000) / 1000;
    const how = selectors[index % selectors.length] ?? '';
    freezes.push({ at, kind: 'node_freeze', on: 'core', count: 1, for_s: 3.1, how });
  }
  return freezes;
}
