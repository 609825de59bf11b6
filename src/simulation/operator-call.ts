import { createHash } from 'node:crypto';
import {
  array,
  enums,
  number,
  object,
  optional,
  string,
  type,
  union,
  type Infer,
} from 'superstruct';
import { parseAs } from '../common/json.js';

/** An operator's call as it goes over the simulated network. */
const EditCallShape = object({
  method: enums(['PUT', 'PATCH']),
  /** `If-Match`. */
  base: number(),
  text: string(),
});
const ZoneCallShape = object({ method: enums(['POST', 'DELETE']), zone: string() });
const ReadCallShape = object({ method: enums(['GET']) });
const CallShape = union([EditCallShape, ZoneCallShape, ReadCallShape]);
export type OperatorCall = Infer<typeof CallShape>;

const AnswerShape = type({ status: number(), body: string() });
export type OperatorAnswer = Infer<typeof AnswerShape>;

/** A verb of the control core with its JSON body. */
export interface CoreCommand {
  readonly verb: string;
  readonly body: string;
}

const FailureShape = type({ defect: optional(string()) });
const ConfigShape = type({
  emptied: optional(array(string())),
  routing: optional(type({ version: number(), text: string() })),
});

/** What an operator reads: the configuration, and beside it what the simulation alone can see. */
const ReadShape = type({
  evacuated: array(string()),
  document: optional(type({ version: number(), text: string() })),
});
export type ReadAnswer = Infer<typeof ReadShape>;

/** The platform adapter's statuses for what the core says. */
const STATUS_BY_DEFECT: ReadonlyMap<string, number> = new Map([
  ['base-lost', 412],
  ['bad-config', 400],
  ['malformed', 400],
  ['unsure-edit', 504],
  ['no-leader', 503],
]);
const MIN_FAILURE_STATUS = 300;
const NOT_FOUND = 404;
const ID_LENGTH = 32;

export function encodeCall(call: OperatorCall): string {
  return JSON.stringify(call);
}

export function decodeCall(text: string): OperatorCall | undefined {
  return parseAs(CallShape, text);
}

export function encodeAnswer(answer: OperatorAnswer): string {
  return JSON.stringify(answer);
}

export function decodeAnswer(text: string): OperatorAnswer | undefined {
  return parseAs(AnswerShape, text);
}

export function decodeRead(text: string): ReadAnswer | undefined {
  return parseAs(ReadShape, text);
}

/** The same order sent again, to whomever, is the same edit to the core. */
export function editIdOf(verb: string, base: number, text: string): string {
  const hash = createHash('sha256').update(`${verb}\n${base}\n${text}`);
  return hash.digest('hex').slice(0, ID_LENGTH);
}

/** The command that the platform adapter makes of a call; a zone's call is an edit of its own. */
export function commandOf(call: OperatorCall, newId: () => string): CoreCommand {
  if (call.method === 'GET') return { verb: 'read', body: '{}' };
  if ('zone' in call) {
    const { zone } = call;
    const body = JSON.stringify({ id: newId(), zone, empty: call.method === 'POST' });
    return { verb: 'zone', body };
  }
  const verb = call.method === 'PUT' ? 'configure' : 'amend';
  const { base, text } = call;
  return { verb, body: JSON.stringify({ id: editIdOf(verb, base, text), base, text }) };
}

/** The answer that the platform adapter makes of the core's. */
export function answerOf(call: OperatorCall, reply: OperatorAnswer): OperatorAnswer {
  if (reply.status >= MIN_FAILURE_STATUS) {
    const defect = parseAs(FailureShape, reply.body)?.defect ?? '';
    return { status: STATUS_BY_DEFECT.get(defect) ?? reply.status, body: reply.body };
  }
  if (call.method !== 'GET') return { status: 200, body: reply.body };
  const config = parseAs(ConfigShape, reply.body);
  const body = JSON.stringify({ evacuated: config?.emptied ?? [], document: config?.routing });
  return { status: config?.routing ? 200 : NOT_FOUND, body };
}
