import { checkTable, EMPTY_TABLE, rowKey, type Fault, type Table } from './table.js';

interface Token {
  readonly text: string;
  readonly column: number;
}
interface Line {
  readonly number: number;
  readonly tokens: readonly Token[];
}

interface RowDraft {
  [cell: string]: string | number | boolean;
}

export interface Compiled {
  readonly table: Table;
  readonly faults: readonly Fault[];
}

function tokensOf(text: string): Token[] {
  const tokens: Token[] = [];
  for (const match of text.replace(/#.*$/, '').matchAll(/\S+/g))
    tokens.push({ text: match[0], column: match.index + 1 });
  return tokens;
}

/**
 * The mapping language: one statement a line, '#' begins a comment.
 *
 *   map METHOD PATH to TYPE
 *   row TYPE MODEL [weight N] [take N/s] [late N(ms|s|m)] [once|repeatable] [whole|stream]
 */
export class Compiler {
  readonly #faults: Fault[] = [];
  readonly #mappings: unknown[] = [];
  readonly #rows: RowDraft[] = [];
  readonly #places = new Map<string, number>();

  compile(text: string): Compiled {
    for (const [index, line] of text.split(/\r?\n/).entries()) {
      const tokens = tokensOf(line);
      if (tokens.length > 0) this.#statement({ number: index + 1, tokens });
    }
    if (this.#faults.length > 0) return { table: EMPTY_TABLE, faults: this.#faults };
    const checked = checkTable({ mappings: this.#mappings, rows: this.#rows });
    return { table: checked.table, faults: checked.faults.map(this.#placed, this) };
  }

  /** Gives a fault of the checked table the line it came from. */
  #placed(fault: Fault): Fault {
    const line = this.#places.get(fault.row);
    return line === undefined ? fault : { ...fault, line, column: 1 };
  }

  #fault(line: Line, token: Token | undefined, cell: string, text: string): void {
    const last = line.tokens[line.tokens.length - 1];
    const column = token?.column ?? (last ? last.column + last.text.length : 1);
    this.#faults.push({ row: `line ${line.number}`, cell, text, line: line.number, column });
  }

  #statement(line: Line): void {
    const [head] = line.tokens;
    if (head?.text === 'map') this.#map(line);
    else if (head?.text === 'row') this.#row(line);
    else
      this.#fault(
        line,
        head,
        'statement',
        `'${head?.text ?? ''}' begins no statement; expected 'map' or 'row'`,
      );
  }

  #map(line: Line): void {
    const [, method, path, to, type, extra] = line.tokens;
    if (!method || !path || !to || !type) {
      this.#fault(line, undefined, 'mapping', "expected 'map METHOD PATH to TYPE'");
      return;
    }
    if (to.text !== 'to') this.#fault(line, to, 'mapping', `expected 'to', found '${to.text}'`);
    if (extra) this.#fault(line, extra, 'mapping', `'${extra.text}' is more than a mapping holds`);
    this.#places.set(`mappings[${this.#mappings.length}]`, line.number);
    this.#places.set(`${method.text} ${path.text}`, line.number);
    this.#mappings.push({ method: method.text, path: path.text, type: type.text });
  }

  #row(line: Line): void {
    const [, type, model, ...rest] = line.tokens;
    if (!type || !model) {
      this.#fault(line, undefined, 'row', "expected 'row TYPE MODEL …'");
      return;
    }
    const row: RowDraft = {
      type: type.text,
      model: model.text,
      weight: 10,
      take: 1000,
      lateMs: 30_000,
      repeatable: false,
      stream: false,
    };
    const given = new Set<string>();
    for (let index = 0; index < rest.length; index += 1) {
      const word = rest[index];
      if (!word) break;
      const cell =
        { once: 'repeatable', repeatable: 'repeatable', whole: 'stream', stream: 'stream' }[
          word.text
        ] ?? word.text;
      if (given.has(cell)) this.#fault(line, word, cell, `${cell} is given twice`);
      given.add(cell);
      switch (word.text) {
        case 'once':
          row['repeatable'] = false;
          break;
        case 'repeatable':
          row['repeatable'] = true;
          break;
        case 'whole':
          row['stream'] = false;
          break;
        case 'stream':
          row['stream'] = true;
          break;
        case 'weight':
          index += 1;
          this.#number(line, word, rest[index], 'weight', /^(\d+)$/, row, 'weight', one);
          break;
        case 'take':
          index += 1;
          this.#number(line, word, rest[index], 'take', /^(\d+(?:\.\d+)?)\/s$/, row, 'take', one);
          break;
        case 'late':
          index += 1;
          this.#number(
            line,
            word,
            rest[index],
            'late',
            /^(\d+(?:\.\d+)?)(ms|s|m)$/,
            row,
            'lateMs',
            millis,
          );
          break;
        default:
          this.#fault(line, word, 'row', `'${word.text}' is no cell of a row`);
      }
    }
    this.#places.set(`rows[${this.#rows.length}]`, line.number);
    if (!this.#places.has(rowKey({ type: type.text, model: model.text })))
      this.#places.set(rowKey({ type: type.text, model: model.text }), line.number);
    this.#rows.push(row);
  }

  #number(
    line: Line,
    word: Token,
    token: Token | undefined,
    cell: string,
    form: RegExp,
    row: RowDraft,
    key: string,
    factor: (unit: string | undefined) => number,
  ): void {
    const match = token ? form.exec(token.text) : null;
    if (!match) {
      this.#fault(line, token, cell, `'${token?.text ?? ''}' is no value for ${word.text}`);
      return;
    }
    row[key] = Number(match[1]) * factor(match[2]);
  }
}

function one(): number {
  return 1;
}

function millis(unit: string | undefined): number {
  return unit === 'ms' ? 1 : unit === 's' ? 1000 : 60_000;
}

export function compile(text: string): Compiled {
  return new Compiler().compile(text);
}

/** The table in the language again; compiling it gives the same table. */
export function printTable(table: Table): string {
  const lines: string[] = [];
  for (const mapping of table.mappings)
    lines.push(`map ${mapping.method} ${mapping.path} to ${mapping.type}`);
  for (const row of table.rows) {
    lines.push(
      `row ${row.type} ${row.model} weight ${row.weight} take ${row.take}/s late ${row.lateMs}ms ${row.repeatable ? 'repeatable' : 'once'} ${row.stream ? 'stream' : 'whole'}`,
    );
  }
  return `${lines.join('\n')}\n`;
}
