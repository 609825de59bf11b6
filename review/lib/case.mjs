/** Runs one case: starts a deployment, plays it, writes the record and ends with the code that the case has come to. */
import { join } from 'node:path';
import { Deployment, until } from './deployment.mjs';
import { configuration, operate, Provider, Runner, plainWork, streamWork } from './platform.mjs';
import { ClientConnection } from './client.mjs';
import { Record } from './record.mjs';

const LIMIT_MS = 115_000;

/** Whether the case plays its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** `play` gets the running deployment and returns what broke the rule, one line each; none where it held. */
export async function runCase(folder, options, play) {
  const record = new Record();
  const deployment = new Deployment({ record, ...options });
  const provider = new Provider(record);
  const runners = [];
  let code = 2;
  let verdict = 'could not run';
  const limit = setTimeout(() => end(2, 'could not run: it took too long'), LIMIT_MS);
  let isEnding = false;
  const end = async (exitCode, text) => {
    // A fault of the script itself must not look like a broken rule.
    if (isEnding) process.exit(2);
    isEnding = true;
    clearTimeout(limit);
    await deployment.stop({ keep: process.env.KEEP === '1' });
    if (process.env.KEEP === '1') process.stdout.write(`${deployment.folder}\n`);
    provider.stop();
    for (const runner of runners) runner.stop();
    record.write(join(folder, 'record.txt'), text);
    process.stdout.write(`${text}\n`);
    process.exit(exitCode);
  };
  process.on('uncaughtException', (thrown) => end(2, `could not run: ${thrown.stack}`));
  // Whatever happens, no process outlives the script.
  process.once('exit', () => deployment.killAll());
  for (const signal of ['SIGINT', 'SIGTERM'])
    process.once(signal, () => end(2, `could not run: ${signal}`));
  try {
    await deployment.prepare();
    for (const spec of options.runners(deployment, record))
      runners.push(new Runner({ record, ...spec }));
    for (const runner of runners) await runner.start();
    provider.runners = runners;
    await provider.start(deployment.provider);
    await deployment.start();
    await operate(
      record,
      deployment.controls,
      'PUT',
      '/-/config',
      configuration(1, options.configuration),
      { 'if-match': '0' },
    );
    for (let index = 0; index < deployment.edgeCount; index += 1)
      await untilServed(record, deployment, index);
    const broken = await play({ record, deployment, provider, runners });
    code = broken.length > 0 ? 1 : 0;
    verdict = broken.length > 0 ? `BROKEN: ${broken.join('\n        ')}` : 'held';
  } catch (thrown) {
    verdict = `could not run: ${thrown.stack ?? thrown}`;
  }
  await end(code, verdict);
}

async function untilServed(record, deployment, index) {
  await until(`edge ${index} serves`, async () => {
    const connection = new ClientConnection(record, deployment.edge(index), 'first');
    const answer = await connection.send({ path: '/kiosk/first', model: '', timeLeftMs: 2000 });
    connection.close();
    return answer.status === 200;
  });
}

/** Two model runners in each zone and one plain runner in each, as small as a deployment can be. */
export function usualRunners({ events = 12, gapMs = 30, workMs = 60, perZone = 1, work } = {}) {
  return (deployment) => {
    const specs = [];
    for (const [index, zone] of deployment.zones.entries()) {
      for (let copy = 0; copy < perZone; copy += 1)
        specs.push({
          id: `r-${zone}-${copy}`,
          service: 'readers',
          zone,
          address: deployment.runnerAddress(index * perZone + copy),
          models: ['m0', 'm1'],
          work: work ?? ((run) => streamWork(run, events, gapMs)),
        });
      specs.push({
        id: `s-${zone}`,
        service: 'status',
        zone,
        slots: 6,
        address: deployment.runnerAddress(60 + index),
        work: (run) => plainWork(run, workMs),
      });
    }
    return specs;
  };
}
