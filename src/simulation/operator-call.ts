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

/** An operator's call as it is sent over the simulated network. */
const EditCallShape = object({
  method: enums(['PUT', 'PATCH']),
  /** The version in the `If-Match` header. */
  base: number(),
  text: string(),
});
const ZoneCallShape = object({ method: enums(['POST', 'DELETE']), zone: string() });
const ReadCallShape = object({ method: enums(['GET']) });
const CallShape = union([EditCallShape, ZoneCallShape, ReadCallShape]);
/** A call of an operator to a control node. */
export type OperatorCall = Infer<typeof CallShape>;

const AnswerShape = type({ status: number(), body: string() });
/** The answer to a call: an HTTP status and a body. */
export type OperatorAnswer = Infer<typeof AnswerShape>;

/** A command of the control core. */
export interface CoreCommand {
  /** The verb of the command. */
  readonly verb: string;
  /** The JSON body of the command. */
  readonly body: string;
}

const FailureShape = type({ defect: optional(string()) });
const ConfigShape = type({
  emptied: optional(array(string())),
  routing: optional(type({ version: number(), text: string() })),
});

/** The body of an answered read: the configuration, and the evacuated zones, which only the simulation can see. */
const ReadShape = type({
  evacuated: array(string()),
  document: optional(type({ version: number(), text: string() })),
});
/** The body of an answered read. */
export type ReadAnswer = Infer<typeof ReadShape>;

/** The HTTP statuses that the platform adapter returns for the defects that the core reports. */
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

/** Encodes a call as JSON. */
export function encodeCall(call: OperatorCall): string {
  return JSON.stringify(call);
}

/** Decodes a call; `undefined` if it is malformed. */
export function decodeCall(text: string): OperatorCall | undefined {
  return parseAs(CallShape, text);
}

/** Encodes an answer as JSON. */
export function encodeAnswer(answer: OperatorAnswer): string {
  return JSON.stringify(answer);
}

/** Decodes an answer; `undefined` if it is malformed. */
export function decodeAnswer(text: string): OperatorAnswer | undefined {
  return parseAs(AnswerShape, text);
}

/** Decodes the body of an answered read; `undefined` if it is malformed. */
export function decodeRead(text: string): ReadAnswer | undefined {
  return parseAs(ReadShape, text);
}

/** The id of an edit: derived from its content, so that the core recognizes an order that is sent again to any node. */
export function editIdOf(verb: string, base: number, text: string): string {
  const hash = createHash('sha256').update(`${verb}\n${base}\n${text}`);
  return hash.digest('hex').slice(0, ID_LENGTH);
}

/** Translates a call into a command as the platform adapter does; every call for a zone is a new edit. */
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

/** Translates the core's reply into an answer as the platform adapter does. */
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
