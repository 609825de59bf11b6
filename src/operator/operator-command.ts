import { Command, Flags } from '@oclif/core';
import { Operator, type OperatorReply } from './operator.js';

export const OPERATOR_FLAGS = {
  api: Flags.string({
    description: "address of a control node's API; may be given several times",
    multiple: true,
    env: 'HARETRACK_API',
    delimiter: ',',
    required: true,
  }),
  json: Flags.boolean({ description: 'print what came back as JSON', default: false }),
} as const;

/** Exit codes: 0 done, 1 turned away, 2 wrong call, 3 unsure. */
export abstract class OperatorCommand extends Command {
  protected operator(apis: readonly string[]): Operator {
    return new Operator(apis);
  }

  /** Tells an edit's outcome, and ends with the code that goes with it. */
  protected tell(returned: OperatorReply, isJson: boolean): void {
    const { status, value } = returned;
    if (isJson) this.log(JSON.stringify(value));
    if (status >= 200 && status < 300) {
      if (!isJson)
        this.log(
          value['number'] === undefined
            ? String(value['outcome'] ?? 'done')
            : `accepted: table ${String(value['number'])} is in force`,
        );
      return;
    }
    if (!isJson) {
      process.stderr.write(
        `${String(value['outcome'] ?? 'turned-away')}: ${String(value['text'] ?? status)}\n`,
      );
      const faults: unknown = value['faults'];
      if (Array.isArray(faults))
        for (const fault of faults) process.stderr.write(`${this.#faultLine(fault)}\n`);
    }
    if (value['outcome'] === 'unsure') {
      if (!isJson)
        process.stderr.write(`ask again with: haretrack operator edit ${String(value['id'])}\n`);
      this.exit(3);
    }
    this.exit(1);
  }

  #faultLine(fault: unknown): string {
    if (typeof fault !== 'object' || fault === null) return String(fault);
    const { row, cell, text, line, column }: Record<string, unknown> = { ...fault };
    const place =
      line === undefined
        ? `${String(row)} ${String(cell)}`
        : `line ${String(line)}, column ${String(column)} ${String(cell)}`;
    return `  ${place}: ${String(text)}`;
  }
}
