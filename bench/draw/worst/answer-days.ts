/** Days with corrupted, lost and reset responses. */
import type { Day, DayEvent } from '../day.js';
import type { Site } from '../site.js';
import { repeatChanges } from './repeat.js';
import { KILL_ALL, WORST_DAY_SECONDS } from './shared.js';

/** Lists the days with corrupted, missing and reset responses between callers, proxies and runners. */
export function listAnswerDays(site: Site): Day[] {
  const service = site.modelService;
  const plainService = site.plainServices[0] ?? service;
  const spoiledAnswers: DayEvent[] = [];
  for (let at = 2; at < 44; at += 7) {
    spoiledAnswers.push(
      { at, kind: 'garble', service, share: 0.7, x: 0.05, for_s: 6, how: 'extra late' },
      { at: at + 1, kind: 'answer_lost', service, share: 0.6, x: 0.06, for_s: 5, how: 'reset' },
      {
        at: at + 2,
        kind: 'garble',
        service: plainService,
        share: 0.7,
        x: 0.05,
        for_s: 5,
        how: 'extra',
      },
      { at: at + 3, kind: 'reset_conns', share: 0.3, x: 0.7 },
    );
  }
  return [
    {
      name: 'answers-spoiled-and-reset',
      seed: 5501,
      lengthSeconds: WORST_DAY_SECONDS,
      closing: null,
      plan: [{ at: 12, kind: 'roll_term', how: 'busy', gap_s: 1 }],
      faults: [
        ...spoiledAnswers,
        { at: 16, kind: 'node_freeze', share: 0.3, for_s: 4 },
        { at: 28, kind: 'node_freeze', share: 0.3, for_s: 2 },
        { at: 38, kind: 'node_freeze', share: 0.3, for_s: 7 },
      ],
    },
    {
      name: 'answers-after-silence',
      seed: 5502,
      lengthSeconds: WORST_DAY_SECONDS,
      closing: null,
      plan: [{ at: 30, kind: 'release', service, share: 0.2, x: 1, gap_s: 0.8 }],
      faults: [
        { at: 3, kind: 'node_cut', share: 0.2, for_s: 8, how: 'servers' },
        { at: 5, kind: 'answer_lost', service, share: 0.6, x: 0.08, for_s: 10, how: '' },
        { at: 9, kind: 'srv_grey', service, share: 0.15, x: 0.5, for_s: 6, how: 'mute' },
        { at: 12, kind: 'srv_crash', service, share: 0.12, for_s: 5, how: 'dark' },
        { at: 18, kind: 'replace_with_reuse', service, share: 0.12, how: 'dark' },
        { at: 20, kind: 'garble', service, share: 0.7, x: 0.05, for_s: 9, how: 'extra late' },
        { at: 24, kind: 'srv_grey', service, share: 0.15, x: 0.5, for_s: 6, how: 'hang' },
        { at: 31, kind: 'srv_grey', service, share: 0.15, x: 0.5, for_s: 6, how: 'reset' },
        { at: 33, kind: 'node_cut', share: 0.25, for_s: 6, how: 'servers' },
        { at: 40, kind: 'replace_with_reuse', service, share: 0.12, how: 'drain' },
        { at: 44, kind: 'node_freeze', share: 0.4, for_s: 5 },
        { at: 47, kind: 'reset_conns', share: 0.4, x: 1 },
      ],
    },
    {
      name: 'answers-under-control-troubles',
      seed: 5503,
      lengthSeconds: WORST_DAY_SECONDS,
      closing: KILL_ALL,
      plan: [
        ...repeatChanges(2, 50, 2.9),
        { at: 20, kind: 'roll_term', how: 'busy', gap_s: 0.8 },
        { at: 8, kind: 'hup', share: 0.6, gap_s: 1 },
      ],
      faults: [
        ...spoiledAnswers,
        { at: 6, kind: 'core_cut', count: 1, for_s: 8, how: 'leader race' },
        { at: 18, kind: 'herd_kill', on: 'core', how: '' },
        { at: 27, kind: 'node_freeze', on: 'core', count: 1, for_s: 6, how: 'leader drain' },
        { at: 36, kind: 'node_cut', share: 0.3, for_s: 6 },
        { at: 45, kind: 'replace_with_reuse', service, share: 0.1, how: '' },
      ],
    },
  ];
}
