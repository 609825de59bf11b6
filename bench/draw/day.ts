/** The parts of a day file: troubles, planned work and the closing fault, and how they are written as TOML. */

/** When the work of a day is done: by plan, or as a fault. */
export type Part = 'plan' | 'faults';

/** The fields that shape one trouble, apart from its kind and its time. */
export interface TroubleFields {
  readonly for_s?: number;
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

/** One trouble, or one piece of planned work, at its time. */
export interface Trouble extends TroubleFields {
  readonly at: number;
  readonly kind: string;
}

/** The kinds of fault that may end a day. */
export const CLOSING_KINDS = ['power_off_all', 'wipe_after_ack', 'kill_all'] as const;

/** The fault that strikes at the end of a day, right after one more acknowledged change. */
export interface Closing {
  readonly kind: (typeof CLOSING_KINDS)[number];
  readonly down_s: number;
  readonly how?: string;
}

/** One whole day. */
export interface Day {
  readonly name: string;
  readonly seed: number;
  readonly lengthSeconds: number;
  readonly closing: Closing | null;
  readonly plan: readonly Trouble[];
  readonly faults: readonly Trouble[];
}

/** Marks and floors as the trouble days of the site files have them, a little lower since more goes wrong at once. */
const MARKS = `one = 0.9
zero = 0.55
goal = { floor = 0.45 }
floor_classes = [0.43]
floor_zones = [0.43]
labels = []`;

/** The TOML of a day; `smallTwin` is the line of the site file that shrinks its large days, if it has one. */
export function writeDay(day: Day, smallTwin: string | null): string {
  const lines = ['[[day]]', `name = ${JSON.stringify(day.name)}`, 'slot = "trouble"'];
  lines.push(`seed = ${day.seed}`, `length_s = ${writeNumber(day.lengthSeconds)}`);
  if (smallTwin !== null) lines.push(smallTwin);
  if (day.closing !== null)
    lines.push(`closing = ${writeInlineTable(Object.entries(day.closing))}`);
  lines.push(MARKS, ...writeTroubles('plan', day.plan), ...writeTroubles('faults', day.faults));
  return `${lines.join('\n')}\n`;
}

function writeTroubles(part: Part, troubles: readonly Trouble[]): string[] {
  const inOrder = [...troubles].sort(byTime);
  const lines = [`${part} = [`];
  for (const trouble of inOrder) lines.push(`  ${writeInlineTable(Object.entries(trouble))},`);
  return [...lines, ']'];
}

function byTime(left: Trouble, right: Trouble): number {
  return left.at - right.at;
}

function writeInlineTable(entries: readonly [string, string | number | undefined][]): string {
  const fields: string[] = [];
  for (const [name, value] of entries) {
    if (value === undefined) continue;
    fields.push(
      `${name} = ${typeof value === 'number' ? writeNumber(value) : JSON.stringify(value)}`,
    );
  }
  return `{ ${fields.join(', ')} }`;
}

function writeNumber(value: number): string {
  return String(Math.round(value * 1000) / 1000);
}
