/** The parts of the report on one played day (`--report` of the bench) that comparisons need. */
import { array, create, nullable, number, record, string, tuple, type } from 'superstruct';

const ClassShape = type({ name: string(), worth: nullable(number()) });

const DayReportShape = type({
  /** The day's worth after deducting prices. */
  G: number(),
  /** The components of the worth: name, weight, value. */
  parts: array(tuple([string(), number(), number()])),
  /** The prices: name, amount, cost in worth. */
  prices: array(tuple([string(), number(), number()])),
  classes: array(ClassShape),
  /** How often each rule was broken. */
  breaks: record(string(), number()),
});

/** The figures of one day by name, and the names of the broken rules. */
export interface DayFigures {
  readonly figures: ReadonlyMap<string, number>;
  readonly brokenRules: readonly string[];
}

/**
 * Parses a report.
 *
 * @throws {SyntaxError} if the text is not JSON.
 * @throws {StructError} if a field is missing or has the wrong type.
 */
export function parseDayReport(text: string): DayFigures {
  const report = create(JSON.parse(text), DayReportShape);
  const figures = new Map<string, number>([['worth', report.G]]);
  for (const [name, , value] of report.parts) figures.set(name, value);
  for (const { name, worth } of report.classes)
    if (worth !== null) figures.set(`class ${name}`, worth);
  for (const [name, , cost] of report.prices) figures.set(`price ${name}`, cost);
  return { figures, brokenRules: Object.keys(report.breaks) };
}
