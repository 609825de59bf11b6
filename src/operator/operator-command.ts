/** The common part of all operator commands: flags, the API client, and the output of replies. */
import { Command, Flags } from '@oclif/core';
import { Operator, type OperatorReply } from './operator.js';

/** Flags of every operator command. */
export const OPERATOR_FLAGS = {
  api: Flags.string({
    description: "address of a control node's API; may be given several times",
    multiple: true,
    env: 'HARETRACK_API',
    delimiter: ',',
    required: true,
  }),
  json: Flags.boolean({ description: 'print the reply as JSON', default: false }),
} as const;

/** An operator command. Exit codes: 0 done, 1 rejected, 2 usage error, 3 outcome unknown. */
export abstract class OperatorCommand extends Command {
  /** A client of the given API addresses. */
  protected operator(apis: readonly string[]): Operator {
    return new Operator(apis);
  }

  /** Prints a reply; exits with 1 or 3 unless the request was done. */
  protected printReply(reply: OperatorReply, isJson: boolean): void {
    const { status, value } = reply;
    const isDone = status >= 200 && status < 300;
    if (isJson) this.log(JSON.stringify(value));
    else if (isDone) this.log(acceptedText(value));
    else this.#printRejection(status, value);
    if (isDone) return;
    if (value['outcome'] !== 'unsure') this.exit(1);
    if (!isJson)
      process.stderr.write(
        `query the outcome with: haretrack operator edit ${textOf(value['id'])}\n`,
      );
    this.exit(3);
  }

  #printRejection(status: number, value: OperatorReply['value']): void {
    const outcome = textOf(value['outcome'] ?? 'turned-away');
    process.stderr.write(`${outcome}: ${textOf(value['text'] ?? status)}\n`);
    const faults: unknown = value['faults'];
    if (!Array.isArray(faults)) return;
    for (const fault of faults) process.stderr.write(`${faultLine(fault)}\n`);
  }
}

/** A value of a JSON object as text; text itself is not quoted. */
export function textOf(value: unknown): string {
  if (value === undefined) return 'undefined';
  return typeof value === 'string' ? value : JSON.stringify(value);
}

function acceptedText(value: OperatorReply['value']): string {
  const number = value['number'];
  return number === undefined
    ? textOf(value['outcome'] ?? 'done')
    : `accepted: table ${textOf(number)} is in force`;
}

/** One fault of a rejected table, with its row and cell, or its line and column in the text. */
function faultLine(fault: unknown): string {
  if (typeof fault !== 'object' || fault === null) return textOf(fault);
  const { row, cell, text, line, column }: Record<string, unknown> = { ...fault };
  const position =
    line === undefined
      ? `${textOf(row)} ${textOf(cell)}`
      : `line ${textOf(line)}, column ${textOf(column)} ${textOf(cell)}`;
  return `  ${position}: ${textOf(text)}`;
}
