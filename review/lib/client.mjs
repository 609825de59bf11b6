/** A client's connection, byte by byte: what was answered is told as it was read. */
import { connect } from 'node:net';

let count = 0;
export function nextId() {
  count += 1;
  return `${Date.now().toString(16)}${count.toString(16).padStart(6, '0')}`;
}

export class ClientConnection {
  constructor(record, address, name) {
    this.record = record;
    this.name = name;
    this.unread = '';
    this.waiting = [];
    this.isClosed = false;
    this.socket = connect(address);
    this.socket.setNoDelay(true);
    this.socket.on('data', (chunk) => this.#onData(chunk));
    this.socket.on('error', () => undefined);
    this.socket.once('close', () => this.#onClose());
  }

  /** Sends a request; resolves once its answer is whole or its connection has ended. */
  send({
    path,
    model = 'm0',
    timeLeftMs = 5000,
    method = 'POST',
    body = '{"claim":1}',
    headers = {},
  }) {
    const id = nextId();
    const lines = [
      `${method} ${path} HTTP/1.1`,
      'Host: shop.example',
      `Attempt-Id: ${id}`,
      ...(model === ''
        ? []
        : [`Model: ${model}`, 'Token-Count: 300,72', `Prompt-Prefix: aa01:200,${id}:100`]),
      `Time-Left-Ms: ${timeLeftMs}`,
      ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
      ...(body === '' && method === 'GET' ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
    ];
    this.record.add('sent', { connection: this.name, id, path });
    this.socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
    return new Promise((done) => {
      this.waiting.push({
        id,
        path,
        status: 0,
        headers: {},
        body: '',
        isWhole: false,
        done,
        sentAt: this.record.now,
      });
      if (this.isClosed) this.#finish(this.waiting[0], false);
    });
  }

  close() {
    this.socket.destroy();
  }

  #onData(chunk) {
    this.unread += chunk.toString('latin1');
    while (this.#takeAnswer());
  }

  /** Reads one answer, or as much of it as there is; false where more has to come first. */
  #takeAnswer() {
    const [answer] = this.waiting;
    if (!answer) return false;
    if (answer.status === 0) {
      const end = this.unread.indexOf('\r\n\r\n');
      if (end < 0) return false;
      const [first, ...lines] = this.unread.slice(0, end).split('\r\n');
      this.unread = this.unread.slice(end + 4);
      answer.startLine = first;
      answer.status = /^HTTP\/1\.1 \d{3}\b/.test(first) ? Number(first.split(' ')[1]) : NaN;
      for (const line of lines) {
        const at = line.indexOf(':');
        answer.headers[line.slice(0, at).toLowerCase()] = line.slice(at + 1).trim();
      }
      this.record.add('head', {
        connection: this.name,
        id: answer.id,
        status: answer.status,
        close: answer.headers.connection === 'close',
      });
    }
    return answer.headers['transfer-encoding'] === 'chunked'
      ? this.#takeChunk(answer)
      : this.#takeLength(answer);
  }

  #takeChunk(answer) {
    const end = this.unread.indexOf('\r\n');
    if (end < 0) return false;
    const size = Number.parseInt(this.unread.slice(0, end), 16);
    if (this.unread.length < end + 2 + size + 2) return false;
    answer.body += this.unread.slice(end + 2, end + 2 + size);
    this.unread = this.unread.slice(end + 2 + size + 2);
    if (size === 0) this.#finish(answer, true);
    return true;
  }

  #takeLength(answer) {
    const size = Number(answer.headers['content-length'] ?? 0);
    if (this.unread.length < size) return false;
    answer.body = this.unread.slice(0, size);
    this.unread = this.unread.slice(size);
    this.#finish(answer, true);
    return true;
  }

  #finish(answer, isWhole) {
    this.waiting.shift();
    answer.isWhole = isWhole;
    answer.endedAt = this.record.now;
    const pieces = answer.body.split('\n').filter((line) => line.startsWith('id: ')).length;
    this.record.add('answer', {
      connection: this.name,
      id: answer.id,
      path: answer.path,
      status: answer.status || 'none',
      whole: isWhole,
      pieces,
    });
    answer.done(answer);
  }

  #onClose() {
    this.isClosed = true;
    this.record.add('closed', { connection: this.name });
    while (this.waiting.length > 0) this.#finish(this.waiting[0], false);
  }
}
