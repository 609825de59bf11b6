/** The contents of a day file (planned work, faults and the closing fault) and their TOML format. */

/** The section of a day file that an event belongs to: planned work or faults. */
export type DaySection = 'plan' | 'faults';

/**
 * The parameters of an event, without its kind and time. The names are those of the day file; the kind determines which
 * fields apply and what `x` (a factor, a probability or a time) and the words of `how` mean.
 */
export interface EventFields {
  /** Duration in seconds. */
  readonly for_s?: number;
  /** Interval between repetitions in seconds. */
  readonly gap_s?: number;
  readonly share?: number;
  readonly count?: number;
  readonly x?: number;
  readonly how?: string;
  readonly on?: 'core' | 'front';
  readonly zone?: string;
  readonly to_zone?: string;
  readonly service?: string;
  readonly class?: string;
}

/** A fault or a piece of planned work, with its time in seconds from the start of the day. */
export interface DayEvent extends EventFields {
  readonly at: number;
  readonly kind: string;
}

/** The kinds of fault that can end a day. */
export const CLOSING_KINDS = ['power_off_all', 'wipe_after_ack', 'kill_all'] as const;

/** The fault at the end of a day, injected right after one more acknowledged change. */
export interface ClosingFault {
  readonly kind: (typeof CLOSING_KINDS)[number];
  /** How long what was stopped stays down, in seconds. */
  readonly down_s: number;
  readonly how?: string;
}

/** A complete day: its length, planned work, faults and closing fault. */
export interface Day {
  readonly name: string;
  readonly seed: number;
  readonly lengthSeconds: number;
  readonly closing: ClosingFault | null;
  readonly plan: readonly DayEvent[];
  readonly faults: readonly DayEvent[];
}

/** Score marks and floors of the site files' trouble days, slightly lower because more events overlap here. */
const SCORE_THRESHOLDS = `one = 0.9
zero = 0.55
goal = { floor = 0.45 }
floor_classes = [0.43]
floor_zones = [0.43]
labels = []`;

/**
 * Formats a day as TOML; `smallVariantLine` is the line of the site file that scales down its large days, or null where
 * the site has none.
 */
export function formatDay(day: Day, smallVariantLine: string | null): string {
  const lines = ['[[day]]', `name = ${JSON.stringify(day.name)}`, 'slot = "trouble"'];
  lines.push(`seed = ${day.seed}`, `length_s = ${formatNumber(day.lengthSeconds)}`);
  if (smallVariantLine !== null) lines.push(smallVariantLine);
  if (day.closing !== null)
    lines.push(`closing = ${formatInlineTable(Object.entries(day.closing))}`);
  lines.push(
    SCORE_THRESHOLDS,
    ...formatEvents('plan', day.plan),
    ...formatEvents('faults', day.faults),
  );
  return `${lines.join('\n')}\n`;
}

function formatEvents(section: DaySection, events: readonly DayEvent[]): string[] {
  const inOrder = [...events].sort(byTime);
  const lines = [`${section} = [`];
  for (const event of inOrder) lines.push(`  ${formatInlineTable(Object.entries(event))},`);
  return [...lines, ']'];
}

function byTime(left: DayEvent, right: DayEvent): number {
  return left.at - right.at;
}

function formatInlineTable(entries: readonly [string, string | number | undefined][]): string {
  const fields: string[] = [];
  for (const [name, value] of entries) {
    if (value === undefined) continue;
    fields.push(
      `${name} = ${typeof value === 'number' ? formatNumber(value) : JSON.stringify(value)}`,
    );
  }
  return `{ ${fields.join(', ')} }`;
}

function formatNumber(value: number): string {
  return String(Math.round(value * 1000) / 1000);
}
