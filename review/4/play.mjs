/**
 * A model runner crashes and comes back cold; about a second after it is back the process of the control node that leads is
 * killed. Nine edge machines, as the sheet has them, and one runner that holds the model.
 */
import { fileURLToPath } from 'node:url';
import { HAS_TROUBLE, runCase, usualRunners } from '../lib/case.mjs';
import { ClientConnection } from '../lib/client.mjs';
import { BOUNDS, pause } from '../lib/deployment.mjs';
import { streamWork } from '../lib/platform.mjs';

const EDGES = 9;
const CLIENTS_EACH = 5;
/** Requests a second of all clients together. */
const RATE = 162;
const ROUNDS = 12;
const CALM_MS = 4000;
/** How long the crashed runner stays on the list, and when it is up again. */
const LISTED_MS = 1000;
const DOWN_MS = 1500;
/** `warmup_s` and `warmup_per_s` of the configuration; a cold runner falls over at three times what it bears. */
const COLD_MS = 3000;
const COLD_PER_S = 37;
const FALLS_AT = COLD_PER_S * 3;
const LIMIT = COLD_PER_S * BOUNDS.warmup_excess + BOUNDS.warmup_slack;
/** How long after the runner is back the leader is killed. */
const KILLED_AFTER_MS = [900, 1200];

const arrivals = [];

/** Falls over where it gets well above what it bears while it is cold, and loses what it runs. */
function coldWork(run) {
  const now = performance.now();
  const { runner } = run;
  if (now < runner.coldUntil) {
    arrivals.push(now);
    while (arrivals[0] <= now - 1000) arrivals.shift();
    if (arrivals.length > FALLS_AT) {
      runner.record.add('fell over', { runner: runner.id, running: runner.active });
      arrivals.length = 0;
      runner.stop();
      return undefined;
    }
  }
  return streamWork(run, 3, 20);
}

/** One runner holds the models, and each zone has a plain one. */
function runners(deployment) {
  const specs = usualRunners()(deployment);
  const reader = specs.find(({ service }) => service === 'readers');
  return [{ ...reader, work: coldWork }, ...specs.filter(({ service }) => service === 'status')];
}

const folder = fileURLToPath(new URL('.', import.meta.url));
await runCase(
  folder,
  { edges: EDGES, runners },
  async ({ record, deployment, runners: [runner] }) => {
    let isOver = false;
    async function client(edge, index) {
      const name = `client-${edge}-${index}`;
      let connection;
      while (!isOver) {
        await pause(((EDGES * CLIENTS_EACH * 1000) / RATE) * (0.8 + Math.random() * 0.4));
        // One whose last request still runs takes another connection.
        if (!connection || connection.isClosed || connection.waiting.length > 0)
          connection = new ClientConnection(record, deployment.edge(edge), name);
        void connection.send({ path: '/till/check', timeLeftMs: 5000 });
      }
    }
    // The agents need some seconds to find the control nodes at their own ports.
    await pause(6000);
    for (let edge = 0; edge < EDGES; edge += 1)
      for (let index = 0; index < CLIENTS_EACH; index += 1) void client(edge, index);

    const lives = [];
    for (let round = 1; round <= ROUNDS; round += 1) {
      await pause(CALM_MS);
      runner.stop();
      record.add('crash', { runner: runner.id });
      await pause(LISTED_MS);
      runner.isListed = false;
      await pause(DOWN_MS - LISTED_MS);
      arrivals.length = 0;
      await runner.startAgain(`r-plateau-0-${round}`, COLD_MS);
      lives.push({ id: runner.id, from: record.add('back and cold', { runner: runner.id }).at });
      const [least, most] = KILLED_AFTER_MS;
      await pause(least + Math.random() * (most - least));
      if (!HAS_TROUBLE) continue;
      const leader = deployment.leader();
      record.add('SIGKILL', { machine: leader });
      deployment.machine(leader).programs.get('control').signal('SIGKILL');
    }
    await pause(COLD_MS);
    isOver = true;
    return lives.flatMap((life) => faultsOf(record, life));
  },
);

/** The most requests that were sent by their clients and arrived at the cold runner inside of one second. */
function faultsOf(record, { id, from }) {
  const sentAt = new Map(record.of('sent').map((event) => [event.id, event.at]));
  const runs = record
    .of('run')
    .filter((run) => run.runner === id && run.at >= from && run.at < from + COLD_MS);
  let most = 0;
  for (const { at: end } of runs) {
    const inside = runs.filter((run) => run.at <= end && (sentAt.get(run.id) ?? 0) > end - 1000);
    most = Math.max(most, inside.length);
  }
  const fell = record.of('fell over').find(({ runner }) => runner === id);
  const loss = fell ? `, fell over and lost ${fell.running} requests` : '';
  return most > LIMIT
    ? [`FAILBACK: ${id} got ${most} requests in one second of ${LIMIT}${loss}`]
    : [];
}
