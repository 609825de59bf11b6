/** Series of troubles, spread over a day, that the fixed days share. */
import type { Trouble } from '../day.js';

/** Changes of the configuration, each of another shape than the one before. */
export function repeatChanges(first: number, last: number, gap: number): Trouble[] {
  const shapes = ['timeout', 'route', 'weights', 'idle'] as const;
  const changes: Trouble[] = [];
  for (let index = 0; first + index * gap <= last; index += 1) {
    const how = shapes[index % shapes.length] ?? 'timeout';
    changes.push({ at: first + index * gap, kind: 'config_change', how });
  }
  return changes;
}

/** Races of two operators. */
export function repeatRaces(first: number, last: number, gap: number): Trouble[] {
  const races: Trouble[] = [];
  for (let at = first; at <= last; at += gap) {
    races.push({ at, kind: 'config_race', count: 4, gap_s: 0.7 });
  }
  return races;
}

/** Evacuations of zones that the seed picks. */
export function repeatEvacuations(first: number, last: number, gap: number): Trouble[] {
  const evacuations: Trouble[] = [];
  for (let at = first; at <= last; at += gap) {
    evacuations.push({ at, kind: 'evacuate', for_s: 3.5, how: 'warm' });
  }
  return evacuations;
}

/** Evacuations that are taken back soon, so that a late copy of either would be seen. */
export function repeatShortEvacuations(first: number, last: number, gap: number): Trouble[] {
  const evacuations: Trouble[] = [];
  for (let at = first; at <= last; at += gap) {
    evacuations.push({ at, kind: 'evacuate', for_s: 1.6, how: 'warm' });
  }
  return evacuations;
}

/** Short freezes of one control machine each, beginning shortly after an order was sent. */
export function repeatFreezes(first: number, last: number, gap: number): Trouble[] {
  const aims = ['', 'seed', 'leader', 'reader'] as const;
  const freezes: Trouble[] = [];
  for (let index = 0; first + index * gap <= last; index += 1) {
    const at = Math.round((first + index * gap + 0.005 * index) * 1000) / 1000;
    const how = aims[index % aims.length] ?? '';
    freezes.push({ at, kind: 'node_freeze', on: 'core', count: 1, for_s: 3.1, how });
  }
  return freezes;
}
