import type { Schedule } from './faults.js';
import type { SimulationOptions } from './options.js';

/** The source of a test that reproduces a run and requires that it violates no rule, for a file in `src/simulation`. */
export function reproductionTest(
  options: SimulationOptions,
  schedule: Schedule,
  rule: string,
): string {
  const faults: string[] = [];
  for (const fault of schedule) faults.push(`    ${JSON.stringify(fault)},`);
  const title = `seed ${options.seed} of ${options.nodes} nodes keeps ${rule}`;
  return [
    "import { expect, test } from 'vitest';",
    "import { simulate } from './control-simulation.js';",
    "import type { Schedule } from './faults.js';",
    "import type { SimulationOptions } from './options.js';",
    '',
    'function checkRun(): void {',
    `  const options: SimulationOptions = ${JSON.stringify(options)};`,
    '  const schedule: Schedule = [',
    ...faults,
    '  ];',
    '  expect(simulate(options, schedule).violations).toEqual([]);',
    '}',
    '',
    `test(${JSON.stringify(title)}, checkRun);`,
    '',
  ].join('\n');
}
