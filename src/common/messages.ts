import { array, boolean, number, string, type, type Infer } from 'superstruct';
import { MalformedFrameError } from './errors.js';
import { Codec, Wire, type Shape } from './wire.js';

const LinkShape = type({ peer: string(), score: number(), alive: boolean() });
/** The scores that a node gives its links to other nodes; only that node, the owner, increments the version. */
export const ScoreReportShape = type({
  owner: string(),
  version: number(),
  links: array(LinkShape),
});
const StoredReplicaShape = type({
  part: string(),
  epoch: number(),
  count: number(),
  body: string(),
  sound: boolean(),
});
const KnownVersionShape = type({ topic: string(), epoch: number(), count: number() });
const ControlNodeShape = type({ id: string(), zone: string() });
const MemberVersionShape = type({
  id: string(),
  zone: string(),
  address: string(),
  epoch: number(),
  count: number(),
});

/** The shapes of all messages between processes. New fields go at the end of a shape: their order gives the wire numbers. */
export const SHAPES = {
  hello: type({ id: string(), role: string(), zone: string() }),
  ping: type({
    nonce: number(),
    epoch: number(),
    reports: array(ScoreReportShape),
    leader: string(),
  }),
  pong: type({
    nonce: number(),
    epoch: number(),
    reports: array(ScoreReportShape),
    standing: string(),
  }),
  propose: type({ epoch: number(), reports: array(ScoreReportShape) }),
  defer: type({ epoch: number(), reports: array(ScoreReportShape) }),
  /** `sentAt` is a time on the monotonic clock of the leader, in milliseconds; other nodes cannot interpret it. */
  victory: type({
    epoch: number(),
    reports: array(ScoreReportShape),
    nonce: number(),
    quorum: array(string()),
    sentAt: number(),
  }),
  granted: type({
    epoch: number(),
    wait: number(),
    nonce: number(),
    reports: array(ScoreReportShape),
  }),
  behind: type({ epoch: number(), reports: array(ScoreReportShape) }),
  renew: type({ epoch: number(), nonce: number(), quorum: array(string()), sentAt: number() }),
  renewed: type({ epoch: number(), nonce: number() }),
  read: type({ epoch: number(), nonce: number(), parts: array(string()) }),
  readReply: type({
    epoch: number(),
    nonce: number(),
    sound: boolean(),
    copies: array(StoredReplicaShape),
    standing: string(),
  }),
  write: type({ part: string(), epoch: number(), count: number(), body: string() }),
  writeReply: type({
    part: string(),
    epoch: number(),
    count: number(),
    good: boolean(),
    members: array(MemberVersionShape),
  }),
  digest: type({ nonce: number(), low: number(), high: number(), digest: string() }),
  digestReply: type({
    nonce: number(),
    low: number(),
    high: number(),
    same: boolean(),
    sound: boolean(),
  }),
  quorumRead: type({ nonce: number(), members: array(MemberVersionShape) }),
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
  freshnessRequest: type({
    nonce: number(),
    have: array(KnownVersionShape),
    members: array(string()),
  }),
  freshnessReply: type({ nonce: number(), epoch: number(), count: number(), marks: number() }),
  ack: type({ epoch: number(), count: number() }),
  acked: type({ members: array(MemberVersionShape) }),
  demand: type({ body: string() }),
  /** `epoch` is the one that the sender follows, `leaderTime` the last `sentAt` of its leader: they bound the order's age. */
  command: type({
    id: number(),
    verb: string(),
    body: string(),
    epoch: number(),
    leaderTime: number(),
  }),
  commandReply: type({ id: number(), status: number(), body: string() }),
  released: type({ epoch: number() }),
  /** Sent by a control node that is not a voter or knows no leader, with the version of its configuration. */
  announce: type({
    id: string(),
    zone: string(),
    epoch: number(),
    count: number(),
    isFirst: boolean(),
    isSound: boolean(),
  }),
  /** The voters with their zones, their leader, and the version of the newest configuration. */
  controlNodes: type({
    controlNodes: array(ControlNodeShape),
    leader: string(),
    epoch: number(),
    count: number(),
  }),
  /** The change of a topic since the version with count `from` of the same epoch. */
  delta: type({
    topic: string(),
    epoch: number(),
    from: number(),
    count: number(),
    body: string(),
  }),
  /**
   * Sent by a voter that is to stop. The reply of the leader allows it once another node has replaced it as a voter, or if
   * there is none to do so.
   */
  leave: type({ id: string() }),
  leaveReply: type({ mayStop: boolean() }),
  /**
   * Ids of runners that the platform lists as draining. They are distributed without the leader while the leader does not
   * read the list. Between voters the message also says that its sender has just read the list; then it may be empty.
   */
  leaving: type({ runners: array(string()) }),
} as const;

type Shapes = typeof SHAPES;
/** The kind of a message. */
export type MessageKind = keyof Shapes;
/** The fields of a message of kind `K`. */
export type Body<K extends MessageKind> = Infer<Shapes[K]>;
/** A message of any kind. */
export type Message = { [K in MessageKind]: { readonly kind: K } & Readonly<Body<K>> }[MessageKind];
/** The scores that a node gives its links. */
export type ScoreReport = Infer<typeof ScoreReportShape>;
/** A replica of one partition as a node has stored it. */
export type StoredReplica = Infer<typeof StoredReplicaShape>;
/** The newest version of a topic that a node knows. */
export type KnownVersion = Infer<typeof KnownVersionShape>;
/** A control node and its zone. */
export type ControlNodeZone = Infer<typeof ControlNodeShape>;
/** A member and the version of the configuration that it has acknowledged. */
export type MemberVersion = Infer<typeof MemberVersionShape>;

interface MessageCodec {
  encode(message: Message): Uint8Array;
  decode(bytes: Uint8Array): Message;
}

const wire = new Wire();
const codecs = new Map<string, MessageCodec>();

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
  codecs.set(kind, { encode, decode });
}

for (const [kind, shape] of Object.entries<Shape<object>>(SHAPES)) register(kind, shape);

const kinds = Object.keys(SHAPES);

/** Encodes a message as one byte, the index of its kind in `SHAPES`, and its protobuf form. */
export function encodeMessage(message: Message): Buffer {
  const messageCodec = codecs.get(message.kind);
  if (!messageCodec) throw new MalformedFrameError(`unknown kind ${message.kind}`);
  return Buffer.concat([Buffer.from([kinds.indexOf(message.kind)]), messageCodec.encode(message)]);
}

/** Decodes a message; throws a `MalformedFrameError` if the kind is unknown or the fields do not fit it. */
export function decodeMessage(bytes: Uint8Array): Message {
  const kind = kinds[bytes[0] ?? 255];
  const messageCodec = kind === undefined ? undefined : codecs.get(kind);
  if (!messageCodec) throw new MalformedFrameError(`unknown kind ${bytes[0]}`);
  return messageCodec.decode(bytes.subarray(1));
}
