/**
 * One runner fails one in fifty of its requests and breaks off those answers in the midst of their bodies, while another
 * one is full for a moment and turns requests away with `Not-Run`. The route is resumable and allows two tries.
 */
import { fileURLToPath } from 'node:url';
import { HAS_TROUBLE, runCase, usualRunners } from '../lib/case.mjs';
import { ClientConnection } from '../lib/client.mjs';
import { pause } from '../lib/deployment.mjs';
import { answerHeaders, streamWork } from '../lib/platform.mjs';

const SECONDS = 30;
const CLIENTS = 10;
const EVENTS = 6;
const GAP_MS = 30;
const FAILS_ONE_IN = 50;
/** A failure is answered so long after the request came, and breaks off so long after its head. */
const FAILS_AFTER_MS = 60;
const BREAKS_OFF_AFTER_MS = 250;
/** The other runner is full for so long from when a request that will fail has come. */
const FULL_MS = 150;
const FAILURE = JSON.stringify({ error: 'the engine ran out of memory', detail: 'see its log' });
const SENT_BYTES = 10;

const state = { requests: 0, fullUntil: 0 };

/** Answers 500 as any failure, and breaks off after a few bytes of its body. */
async function failingWork(run) {
  run.runner.record.add('failure', {
    runner: run.runner.id,
    id: run.id,
    bytes: SENT_BYTES,
    of: FAILURE.length,
  });
  state.fullUntil = performance.now() + FULL_MS;
  await pause(FAILS_AFTER_MS);
  const headers = { 'content-type': 'application/json', 'content-length': FAILURE.length };
  run.answer.writeHead(500, answerHeaders(run, headers));
  run.answer.write(FAILURE.slice(0, SENT_BYTES));
  await pause(BREAKS_OFF_AFTER_MS);
  run.answer.destroy();
}

/** What a full runner answers: it has not run the request. */
function turnAway(run) {
  run.runner.record.add('turned away', { runner: run.runner.id, id: run.id });
  run.answer.writeHead(503, { 'attempt-id': run.id, 'not-run': '1', 'content-length': 0 }).end();
}

/** Two runners hold the model that is asked for; the third holds another. */
function runners(deployment) {
  const specs = usualRunners()(deployment);
  const [failing, full, other] = specs.filter(({ service }) => service === 'readers');
  failing.work = (run) => {
    state.requests += 1;
    const fails = HAS_TROUBLE && state.requests % FAILS_ONE_IN === 0;
    return fails ? failingWork(run) : streamWork(run, EVENTS, GAP_MS);
  };
  full.work = (run) =>
    performance.now() < state.fullUntil ? turnAway(run) : streamWork(run, EVENTS, GAP_MS);
  other.models = ['m1'];
  return specs;
}

const folder = fileURLToPath(new URL('.', import.meta.url));
await runCase(folder, { edges: 1, runners }, async ({ record, deployment }) => {
  const end = record.now + SECONDS * 1000;
  const answers = [];

  /** Sends one stream after the other on a kept connection. */
  async function client(index) {
    let connection = new ClientConnection(record, deployment.edge(), `client-${index}`);
    while (record.now < end) {
      if (connection.isClosed)
        connection = new ClientConnection(record, deployment.edge(), `client-${index}`);
      const answer = await connection.send({ path: '/till/check', timeLeftMs: 5000 });
      answers.push({ ...answer, connection });
      // What does not begin like an answer can't be read any further.
      if (Number.isNaN(answer.status)) connection.close();
    }
    connection.close();
  }
  await Promise.all(Array.from({ length: CLIENTS }, (_, index) => client(index)));
  return answers.flatMap((answer, index) => faultsOf(answer, answers.slice(0, index)));
});

function faultsOf({ id, status, isWhole, body, startLine, connection }, before) {
  // The failing runner never sends a failure whole.
  if (status === 500 && isWhole)
    return [`MIXED: ${id} got a 500 that looks whole, with the body ${JSON.stringify(body)}`];
  if (!Number.isNaN(status)) return [];
  const last = before.findLast((answer) => answer.connection === connection);
  return [
    `MIXED: ${id} got ${JSON.stringify(startLine)} where its answer is due, which belongs to ${last?.id}`,
  ];
}
