/** Fixed days that bring about, one by one, what the users of such systems meet on their worst days. */
import type { Closing, Day, Trouble } from './Day.js';
import type { Site } from './Site.js';

const LONG_DAY_SECONDS = 130;
const REPAIR_DAY_SECONDS = 60;
const CUT_DAY_SECONDS = 60;
const LONG_CUT_SECONDS = 20;

const POWER_OFF: Closing = { kind: 'power_off_all', down_s: 1 };
const KILL: Closing = { kind: 'kill_all', down_s: 0.8 };
const WIPE: Closing = { kind: 'wipe_after_ack', down_s: 1, how: 'aimed' };
const WIPE_SOON: Closing = { kind: 'wipe_after_ack', down_s: 1, how: 'timed' };

/** All fixed days for a site. */
export function listWorstDays(site: Site): Day[] {
  return [
    ...listCutDays(),
    ...listOperatorDays(),
    ...listSecondLossDays(site),
    ...listLongDays(site),
    ...listAnswerDays(site),
  ];
}

/** Point 1: a control machine is cut off for some twenty seconds while orders go on. */
function listCutDays(): Day[] {
  const days: Day[] = [];
  const shapes = [
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
  for (const shape of shapes) days.push(makeCutDay(shape));
  return days;
}

function makeCutDay(shape: string): Day {
  return {
    name: `cut-${shape.replaceAll(' ', '-')}`,
    seed: seedOf(shape),
    lengthSeconds: CUT_DAY_SECONDS,
    closing: shape.includes('one_way') ? WIPE : null,
    plan: [
      { at: 2, kind: 'config_change', how: 'route' },
      ...repeatChanges(7, 27, 1.9),
      { at: 12, kind: 'config_race', count: 4, gap_s: 1.1 },
      { at: 18, kind: 'evacuate', for_s: 5, how: 'warm' },
      { at: 36, kind: 'config_race', count: 3, gap_s: 0.9 },
    ],
    faults: [
      { at: 6, kind: 'core_cut', count: 1, for_s: LONG_CUT_SECONDS, how: shape },
      { at: 14, kind: 'clock_step', share: 0.4, x: 6000, for_s: 8, how: 'leader back' },
      { at: 20, kind: 'ack_lost', x: 0.6, for_s: 12 },
      { at: 36, kind: 'core_cut', count: 1, for_s: 8, how: shape },
      { at: 48, kind: 'node_freeze', on: 'core', count: 1, for_s: 5, how: 'leader meet race' },
    ],
  };
}

/** Point 2: two operators at once, and orders sent again after a lost answer. */
function listOperatorDays(): Day[] {
  const races = repeatRaces(3, 44, 6);
  const losses: Trouble = { at: 2, kind: 'ack_lost', x: 0.8, for_s: 44 };
  return [
    {
      name: 'operators-race-and-freeze',
      seed: 2201,
      lengthSeconds: REPAIR_DAY_SECONDS,
      closing: POWER_OFF,
      plan: [...races, { at: 30, kind: 'bad_config', count: 3, gap_s: 0.8, how: 'same_version' }],
      faults: [
        losses,
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
      lengthSeconds: REPAIR_DAY_SECONDS,
      closing: WIPE_SOON,
      plan: [...races, { at: 24, kind: 'bad_config', count: 3, gap_s: 0.8, how: 'stale_match' }],
      faults: [
        losses,
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
      lengthSeconds: REPAIR_DAY_SECONDS,
      closing: KILL,
      plan: [...races, { at: 12, kind: 'bad_config', count: 4, gap_s: 0.5, how: 'old_version' }],
      faults: [
        losses,
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
      lengthSeconds: REPAIR_DAY_SECONDS,
      closing: null,
      plan: repeatShortEvacuations(3, 46, 4.3),
      faults: [{ at: 2, kind: 'ack_lost', x: 0.9, for_s: 50 }, ...repeatFreezes(3, 48, 4.3)],
    },
    {
      name: 'operators-evacuate-and-lose-answers',
      seed: 2204,
      lengthSeconds: REPAIR_DAY_SECONDS,
      closing: null,
      plan: repeatEvacuations(4, 46, 7),
      faults: [
        losses,
        { at: 5, kind: 'node_freeze', on: 'core', count: 1, for_s: 5, how: 'leader' },
        { at: 13, kind: 'core_cut', count: 1, for_s: 6, how: 'leader one_way' },
        { at: 24, kind: 'node_freeze', on: 'core', count: 1, for_s: 8, how: 'reader' },
        { at: 35, kind: 'core_cut', count: 1, for_s: 6, how: 'leader' },
        { at: 45, kind: 'after_ack_kill', count: 1, for_s: 2, how: 'kill' },
      ],
    },
  ];
}

/** Point 3: a second loss right after a repair or a replacement. */
function listSecondLossDays(site: Site): Day[] {
  const count = site.toleratedMachines;
  return [
    {
      name: 'loss-after-replacement',
      seed: 3301,
      lengthSeconds: REPAIR_DAY_SECONDS,
      closing: WIPE,
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
      lengthSeconds: REPAIR_DAY_SECONDS,
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
      lengthSeconds: REPAIR_DAY_SECONDS,
      closing: WIPE_SOON,
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
      lengthSeconds: REPAIR_DAY_SECONDS,
      closing: WIPE,
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

/** Point 4: hundreds of changes, and members that come back or are new. */
function listLongDays(site: Site): Day[] {
  const count = site.toleratedMachines;
  const storms: Trouble[] = [];
  for (let at = 3; at < LONG_DAY_SECONDS - 12; at += 12) {
    storms.push({ at, kind: 'config_storm', for_s: 9, gap_s: 0.15 });
  }
  const faults: Trouble[] = [
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
  const bigger: Trouble = { at: 2, kind: 'big_config', count: 300 };
  return [
    makeLongDay('hundreds-of-changes-then-power', 4401, POWER_OFF, storms, faults),
    makeLongDay('hundreds-of-changes-then-wipe', 4402, WIPE, storms, faults),
    makeLongDay('hundreds-of-changes-many-routes', 4403, KILL, [bigger, ...storms], faults),
  ];
}

function makeLongDay(
  name: string,
  seed: number,
  closing: Closing,
  storms: readonly Trouble[],
  faults: readonly Trouble[],
): Day {
  const plan = [...storms, ...repeatRaces(13, 115, 12)];
  return { name, seed, lengthSeconds: LONG_DAY_SECONDS, closing, plan, faults };
}

/** Point 5: answers, silences and resets between callers, proxies and runners. */
function listAnswerDays(site: Site): Day[] {
  const service = site.modelService;
  const plain = site.plainServices[0] ?? service;
  const spoiled: Trouble[] = [];
  for (let at = 2; at < 44; at += 7) {
    spoiled.push(
      { at, kind: 'garble', service, share: 0.7, x: 0.05, for_s: 6, how: 'extra late' },
      { at: at + 1, kind: 'answer_lost', service, share: 0.6, x: 0.06, for_s: 5, how: 'reset' },
      { at: at + 2, kind: 'garble', service: plain, share: 0.7, x: 0.05, for_s: 5, how: 'extra' },
      { at: at + 3, kind: 'reset_conns', share: 0.3, x: 0.7 },
    );
  }
  return [
    {
      name: 'answers-spoiled-and-reset',
      seed: 5501,
      lengthSeconds: REPAIR_DAY_SECONDS,
      closing: null,
      plan: [{ at: 12, kind: 'roll_term', how: 'busy', gap_s: 1 }],
      faults: [
        ...spoiled,
        { at: 16, kind: 'node_freeze', share: 0.3, for_s: 4 },
        { at: 28, kind: 'node_freeze', share: 0.3, for_s: 2 },
        { at: 38, kind: 'node_freeze', share: 0.3, for_s: 7 },
      ],
    },
    {
      name: 'answers-after-silence',
      seed: 5502,
      lengthSeconds: REPAIR_DAY_SECONDS,
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
      lengthSeconds: REPAIR_DAY_SECONDS,
      closing: KILL,
      plan: [
        ...repeatChanges(2, 50, 2.9),
        { at: 20, kind: 'roll_term', how: 'busy', gap_s: 0.8 },
        { at: 8, kind: 'hup', share: 0.6, gap_s: 1 },
      ],
      faults: [
        ...spoiled,
        { at: 6, kind: 'core_cut', count: 1, for_s: 8, how: 'leader race' },
        { at: 18, kind: 'herd_kill', on: 'core', how: '' },
        { at: 27, kind: 'node_freeze', on: 'core', count: 1, for_s: 6, how: 'leader drain' },
        { at: 36, kind: 'node_cut', share: 0.3, for_s: 6 },
        { at: 45, kind: 'replace_with_reuse', service, share: 0.1, how: '' },
      ],
    },
  ];
}

function repeatChanges(first: number, last: number, gap: number): Trouble[] {
  const shapes = ['timeout', 'route', 'weights', 'idle'] as const;
  const changes: Trouble[] = [];
  for (let index = 0; first + index * gap <= last; index += 1) {
    const how = shapes[index % shapes.length] ?? 'timeout';
    changes.push({ at: first + index * gap, kind: 'config_change', how });
  }
  return changes;
}

function repeatRaces(first: number, last: number, gap: number): Trouble[] {
  const races: Trouble[] = [];
  for (let at = first; at <= last; at += gap) {
    races.push({ at, kind: 'config_race', count: 4, gap_s: 0.7 });
  }
  return races;
}

function repeatEvacuations(first: number, last: number, gap: number): Trouble[] {
  const evacuations: Trouble[] = [];
  for (let at = first; at <= last; at += gap) {
    evacuations.push({ at, kind: 'evacuate', for_s: 3.5, how: 'warm' });
  }
  return evacuations;
}

/** Evacuations that are taken back soon, so that a late copy of either would be seen. */
function repeatShortEvacuations(first: number, last: number, gap: number): Trouble[] {
  const evacuations: Trouble[] = [];
  for (let at = first; at <= last; at += gap) {
    evacuations.push({ at, kind: 'evacuate', for_s: 1.6, how: 'warm' });
  }
  return evacuations;
}

/** Short freezes of one control machine each, beginning shortly after an order was sent. */
function repeatFreezes(first: number, last: number, gap: number): Trouble[] {
  const aims = ['', 'seed', 'leader', 'reader'] as const;
  const freezes: Trouble[] = [];
  for (let index = 0; first + index * gap <= last; index += 1) {
    const at = Math.round((first + index * gap + 0.005 * index) * 1000) / 1000;
    const how = aims[index % aims.length] ?? '';
    freezes.push({ at, kind: 'node_freeze', on: 'core', count: 1, for_s: 3.1, how });
  }
  return freezes;
}

function seedOf(text: string): number {
  let seed = 7;
  for (const character of text) seed = (seed * 31 + character.charCodeAt(0)) % 1_000_003;
  return seed;
}
