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

/** The result of compiling a text: the table, which is empty if there are faults, and the faults. */
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
 * A compiler of the mapping language: one statement per line; '#' begins a comment. Use an instance for one text only.
 *
 *   map METHOD PATH to TYPE
 *   row TYPE MODEL [weight N] [take N/s] [late N(ms|s|m)] [once|repeatable] [whole|stream]
 */
export class Compiler {
  readonly #faults: Fault[] = [];
  readonly #mappings: unknown[] = [];
  readonly #rows: RowDraft[] = [];
  readonly #lineNumbers = new Map<string, number>();

  /** Compiles a text. Faults are returned, not thrown. */
  compile(text: string): Compiled {
    for (const [index, line] of text.split(/\r?\n/).entries()) {
      const tokens = tokensOf(line);
      if (tokens.length > 0) this.#parseStatement({ number: index + 1, tokens });
    }
    if (this.#faults.length > 0) return { table: EMPTY_TABLE, faults: this.#faults };
    const checked = checkTable({ mappings: this.#mappings, rows: this.#rows });
    return { table: checked.table, faults: checked.faults.map(this.#withLine, this) };
  }

  /** Adds the line number to a fault of the checked table. */
  #withLine(fault: Fault): Fault {
    const line = this.#lineNumbers.get(fault.row);
    return line === undefined ? fault : { ...fault, line, column: 1 };
  }

  #addFault(line: Line, token: Token | undefined, cell: string, text: string): void {
    const last = line.tokens[line.tokens.length - 1];
    const column = token?.column ?? (last ? last.column + last.text.length : 1);
    this.#faults.push({ row: `line ${line.number}`, cell, text, line: line.number, column });
  }

  #parseStatement(line: Line): void {
    const [head] = line.tokens;
    if (head?.text === 'map') this.#parseMapping(line);
    else if (head?.text === 'row') this.#parseRow(line);
    else
      this.#addFault(
        line,
        head,
        'statement',
        `'${head?.text ?? ''}' begins no statement; expected 'map' or 'row'`,
      );
  }

  #parseMapping(line: Line): void {
    const [, method, path, to, type, extra] = line.tokens;
    if (!method || !path || !to || !type) {
      this.#addFault(line, undefined, 'mapping', "expected 'map METHOD PATH to TYPE'");
      return;
    }
    if (to.text !== 'to') this.#addFault(line, to, 'mapping', `expected 'to', found '${to.text}'`);
    if (extra)
      this.#addFault(line, extra, 'mapping', `'${extra.text}' is more than a mapping holds`);
    this.#lineNumbers.set(`mappings[${this.#mappings.length}]`, line.number);
    this.#lineNumbers.set(`${method.text} ${path.text}`, line.number);
    this.#mappings.push({ method: method.text, path: path.text, type: type.text });
  }

  #parseRow(line: Line): void {
    const [, type, model, ...rest] = line.tokens;
    if (!type || !model) {
      this.#addFault(line, undefined, 'row', "expected 'row TYPE MODEL …'");
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
      const keyword = rest[index];
      if (!keyword) break;
      const cell =
        { once: 'repeatable', repeatable: 'repeatable', whole: 'stream', stream: 'stream' }[
          keyword.text
        ] ?? keyword.text;
      if (given.has(cell)) this.#addFault(line, keyword, cell, `${cell} is given twice`);
      given.add(cell);
      switch (keyword.text) {
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
          this.#parseNumber(
            line,
            keyword,
            rest[index],
            'weight',
            /^(\d+)$/,
            row,
            'weight',
            unitFactor,
          );
          break;
        case 'take':
          index += 1;
          this.#parseNumber(
            line,
            keyword,
            rest[index],
            'take',
            /^(\d+(?:\.\d+)?)\/s$/,
            row,
            'take',
            unitFactor,
          );
          break;
        case 'late':
          index += 1;
          this.#parseNumber(
            line,
            keyword,
            rest[index],
            'late',
            /^(\d+(?:\.\d+)?)(ms|s|m)$/,
            row,
            'lateMs',
            millisecondsPer,
          );
          break;
        default:
          this.#addFault(line, keyword, 'row', `'${keyword.text}' is no cell of a row`);
      }
    }
    this.#lineNumbers.set(`rows[${this.#rows.length}]`, line.number);
    if (!this.#lineNumbers.has(rowKey({ type: type.text, model: model.text })))
      this.#lineNumbers.set(rowKey({ type: type.text, model: model.text }), line.number);
    this.#rows.push(row);
  }

  #parseNumber(
    line: Line,
    keyword: Token,
    token: Token | undefined,
    cell: string,
    pattern: RegExp,
    row: RowDraft,
    key: string,
    factor: (unit: string | undefined) => number,
  ): void {
    const match = token ? pattern.exec(token.text) : null;
    if (!match) {
      this.#addFault(line, token, cell, `'${token?.text ?? ''}' is no value for ${keyword.text}`);
      return;
    }
    row[key] = Number(match[1]) * factor(match[2]);
  }
}

function unitFactor(): number {
  return 1;
}

function millisecondsPer(unit: string | undefined): number {
  return unit === 'ms' ? 1 : unit === 's' ? 1000 : 60_000;
}

/** Compiles a text of the mapping language. Faults are returned, not thrown. */
export function compile(text: string): Compiled {
  return new Compiler().compile(text);
}

/** Prints a table in the mapping language; compiling the text gives the same table. */
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
