import { readFileSync } from 'node:fs';
import { Args, Command, Flags } from '@oclif/core';
import { compile } from '../policy/language.js';
import { reasonOf } from '../common/errors.js';
import { Operator } from '../operator/operator.js';
import { OPERATOR_FLAGS, textOf } from '../operator/operator-command.js';
import { TableCheck, FleetShape } from './table-check.js';

/** Checks a proposed table against the live fleet before it is put in force. */
export class CheckCommand extends Command {
  static override aliases = ['doubt'];
  static override deprecateAliases = true;
  static override description =
    'check a proposed table against the live fleet; exit code 0: no findings, 1: findings, 2: check failed';
  static override args = {
    file: Args.string({ required: true, description: 'file in the mapping language' }),
  };
  static override flags = {
    ...OPERATOR_FLAGS,
    runMs: Flags.integer({
      default: 1000,
      min: 1,
      description: 'assumed duration of a run in milliseconds',
    }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(CheckCommand);
    let text = '';
    try {
      text = readFileSync(args.file, 'utf8');
    } catch (thrown) {
      this.#exitWithError(reasonOf(thrown));
    }
    const { table, faults } = compile(text);
    if (faults.length > 0) {
      const findings = [];
      for (const fault of faults)
        findings.push({
          kind: 'bad-table',
          subject: `line ${fault.line}, column ${fault.column}`,
          text: `${fault.cell}: ${fault.text}`,
        });
      this.#print({ findings, orders: [], waits: [] }, flags.json);
      this.exit(1);
    }
    const { status, value } = await new Operator(flags.api).request('GET', '/fleet');
    if (status !== 200 || !FleetShape.is(value))
      this.#exitWithError(
        `the state of the fleet could not be read: ${textOf(value['text'] ?? status)}`,
      );
    else {
      const report = new TableCheck(table, value, { runMs: flags.runMs }).check();
      this.#print(report, flags.json);
      this.exit(report.findings.length === 0 ? 0 : 1);
    }
  }

  #exitWithError(reason: string): never {
    process.stderr.write(`${reason}\n`);
    return this.exit(2);
  }

  #print(report: ReturnType<TableCheck['check']>, isJson: boolean): void {
    if (isJson) {
      this.log(JSON.stringify(report));
      return;
    }
    for (const finding of report.findings)
      this.log(`${finding.kind} ${finding.subject}: ${finding.text}`);
    for (const order of report.orders) this.log(`would ${order}`);
    for (const wait of report.waits) this.log(`would wait: ${wait}`);
    this.log(
      report.findings.length === 0
        ? 'no findings'
        : `${report.findings.length} finding${report.findings.length === 1 ? '' : 's'}`,
    );
  }
}
