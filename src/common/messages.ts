import { array, boolean, number, string, type, type Infer } from 'superstruct';
import { MalformedFrameError } from './errors.js';
import { Codec, Wire, type Shape } from './wire.js';

const Link = type({ peer: string(), score: number(), alive: boolean() });
/** One node's scores of its links, versioned by its owner alone. */
export const Report = type({ owner: string(), version: number(), links: array(Link) });
const Copy = type({
  part: string(),
  epoch: number(),
  count: number(),
  body: string(),
  sound: boolean(),
});
const Have = type({ topic: string(), epoch: number(), count: number() });
const ControlNode = type({ id: string(), zone: string() });
const Member = type({
  id: string(),
  zone: string(),
  address: string(),
  epoch: number(),
  count: number(),
});

/** Everything the processes say to each other. Fields are only ever added at the end of a shape. */
export const SHAPES = {
  hello: type({ id: string(), role: string(), zone: string() }),
  ping: type({ nonce: number(), epoch: number(), reports: array(Report), leader: string() }),
  pong: type({ nonce: number(), epoch: number(), reports: array(Report), standing: string() }),
  propose: type({ epoch: number(), reports: array(Report) }),
  defer: type({ epoch: number(), reports: array(Report) }),
  /** `sentAt` is the leader's own monotonic clock, in milliseconds; it means nothing to anybody else. */
  victory: type({
    epoch: number(),
    reports: array(Report),
    nonce: number(),
    quorum: array(string()),
    sentAt: number(),
  }),
  granted: type({ epoch: number(), wait: number(), nonce: number(), reports: array(Report) }),
  behind: type({ epoch: number(), reports: array(Report) }),
  renew: type({ epoch: number(), nonce: number(), quorum: array(string()), sentAt: number() }),
  renewed: type({ epoch: number(), nonce: number() }),
  read: type({ epoch: number(), nonce: number(), parts: array(string()) }),
  readReply: type({
    epoch: number(),
    nonce: number(),
    sound: boolean(),
    copies: array(Copy),
    standing: string(),
  }),
  write: type({ part: string(), epoch: number(), count: number(), body: string() }),
  writeReply: type({
    part: string(),
    epoch: number(),
    count: number(),
    good: boolean(),
    members: array(Member),
  }),
  digest: type({ nonce: number(), low: number(), high: number(), digest: string() }),
  digestReply: type({
    nonce: number(),
    low: number(),
    high: number(),
    same: boolean(),
    sound: boolean(),
  }),
  quorumRead: type({ nonce: number(), members: array(Member) }),
  quorumReadReply: type({ nonce: number(), epoch: number(), count: number(), marks: number() }),
  update: type({ topic: string(), epoch: number(), count: number(), body: string() }),
  join: type({
    zone: string(),
    address: string(),
    epoch: number(),
    count: number(),
    lost: string(),
  }),
  assignParent: type({ parent: string() }),
  freshnessRequest: type({ nonce: number(), have: array(Have), members: array(string()) }),
  freshnessReply: type({ nonce: number(), epoch: number(), count: number(), marks: number() }),
  ack: type({ epoch: number(), count: number() }),
  acked: type({ members: array(Member) }),
  demand: type({ body: string() }),
  /** With the epoch that the sender follows and the last `sentAt` that it heard of that leader: a bound on the order's age. */
  command: type({
    id: number(),
    verb: string(),
    body: string(),
    epoch: number(),
    leaderTime: number(),
  }),
  commandReply: type({ id: number(), status: number(), body: string() }),
  released: type({ epoch: number() }),
  /** A control node that is no voter, or hears of no leader, with the configuration it knows. */
  announce: type({
    id: string(),
    zone: string(),
    epoch: number(),
    count: number(),
    isFirst: boolean(),
    isSound: boolean(),
  }),
  /** The voters with their zones, whom they follow, and the newest configuration there. */
  controlNodes: type({
    controlNodes: array(ControlNode),
    leader: string(),
    epoch: number(),
    count: number(),
  }),
  /** What changed of a topic since the count `from` of the same epoch. */
  delta: type({
    topic: string(),
    epoch: number(),
    from: number(),
    count: number(),
    body: string(),
  }),
  /** A voter that is told to stop, and the leader's answer: whether it may, since its seat is taken over or nobody is there to take it. */
  leave: type({ id: string() }),
  leaveReply: type({ mayStop: boolean() }),
  /**
   * Ids of runners that the platform has listed as leaving, told past the leader while it reads no list. Between voters it
   * also says that its sender has just read the list; then it may name nobody.
   */
  leaving: type({ runners: array(string()) }),
} as const;

type Shapes = typeof SHAPES;
export type MessageKind = keyof Shapes;
export type Body<K extends MessageKind> = Infer<Shapes[K]>;
export type Message = { [K in MessageKind]: { readonly kind: K } & Readonly<Body<K>> }[MessageKind];
export type ScoreReport = Infer<typeof Report>;
export type StoredReplica = Infer<typeof Copy>;
export type KnownVersion = Infer<typeof Have>;
export type ControlNodeZone = Infer<typeof ControlNode>;
export type MemberVersion = Infer<typeof Member>;

interface Coder {
  encode(message: Message): Uint8Array;
  decode(bytes: Uint8Array): Message;
}

const wire = new Wire();
const coders = new Map<string, Coder>();

function isMessage(value: unknown, kind: string): value is Message {
  return typeof value === 'object' && value !== null && 'kind' in value && value.kind === kind;
}

function register<T extends object>(kind: string, shape: Shape<T>): void {
  const codec = new Codec(wire, kind, shape);
  function isOfShape(value: unknown): value is T {
    return isMessage(value, kind);
  }
  function encode(message: Message): Uint8Array {
    if (!isOfShape(message)) throw new MalformedFrameError(`not a ${kind}`);
    return codec.encode(message);
  }
  function decode(bytes: Uint8Array): Message {
    const value: unknown = { kind, ...codec.decode(bytes) };
    if (!isMessage(value, kind)) throw new MalformedFrameError(`not a ${kind}`);
    return value;
  }
  coders.set(kind, { encode, decode });
}

for (const [kind, shape] of Object.entries<Shape<object>>(SHAPES)) register(kind, shape);

const kinds = Object.keys(SHAPES);

/** A frame is one byte for the kind's place in the table, then the message. */
export function encodeMessage(message: Message): Buffer {
  const coder = coders.get(message.kind);
  if (!coder) throw new MalformedFrameError(`unknown kind ${message.kind}`);
  return Buffer.concat([Buffer.from([kinds.indexOf(message.kind)]), coder.encode(message)]);
}

export function decodeMessage(bytes: Uint8Array): Message {
  const kind = kinds[bytes[0] ?? 255];
  const coder = kind === undefined ? undefined : coders.get(kind);
  if (!coder) throw new MalformedFrameError(`unknown kind ${bytes[0]}`);
  return coder.decode(bytes.subarray(1));
}
