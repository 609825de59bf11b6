/** What the bench reports of one played day (`--report`), as far as comparisons need it. */
import { array, create, nullable, number, record, string, tuple, type } from 'superstruct';

const ClassShape = type({ name: string(), worth: nullable(number()) });

const DayReportShape = type({
  /** The day's worth after prices. */
  G: number(),
  /** Each part of the worth: its name, its weight, its value. */
  parts: array(tuple([string(), number(), number()])),
  /** Each price: its name, the amount, what it costs in worth. */
  prices: array(tuple([string(), number(), number()])),
  classes: array(ClassShape),
  /** How often each rule was broken. */
  breaks: record(string(), number()),
});

/** The figures of one day by name, and the rules that it broke. */
export interface DayFigures {
  readonly figures: ReadonlyMap<string, number>;
  readonly brokenRules: readonly string[];
}

/**
 * Reads a report.
 *
 * @throws {StructError} where it has another shape.
 */
export function readDayReport(text: string): DayFigures {
  const report = create(JSON.parse(text), DayReportShape);
  const figures = new Map<string, number>([['worth', report.G]]);
  for (const [name, , value] of report.parts) figures.set(name, value);
  for (const { name, worth } of report.classes)
    if (worth !== null) figures.set(`class ${name}`, worth);
  for (const [name, , cost] of report.prices) figures.set(`price ${name}`, cost);
  return { figures, brokenRules: Object.keys(report.breaks) };
}
