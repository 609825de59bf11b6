// After two changes of voters one voter alone knows the newest set; once all processes of the core have been killed, and one
// machine is gone for good, no leader is elected any more.
import { fileURLToPath } from 'node:url';
import { callOnce } from '../lib-2/calls.mjs';
import { Deployment } from '../lib-2/deployment.mjs';
import { IS_TROUBLED, pause, runCase, until } from '../lib-2/record.mjs';
import { CoreNetwork } from '../lib-2/relays.mjs';
import { configurationOf, PlainServer, Platform } from '../lib-2/stand-ins.mjs';

/** `recover_s` of the site is 12 s; the operator asks for as long as this after all are back. */
const READ_BACK_MS = 45_000;
const HOST = 'ficu95.example';
const FURTHER = 3;
const SUCCESSOR = 4;
const deployment = new Deployment();
const network = new CoreNetwork();
const stops = [];

function environmentOf(name) {
  return name.startsWith('control') ? network.environmentOf(Number(name.split('-')[1])) : {};
}

function startControl(index) {
  deployment.start(`control-${index}`, undefined, environmentOf(`control-${index}`));
}

/** The lines with this message that a control node wrote, parsed. */
function linesOf(index, message) {
  return deployment
    .wholeLog(`control-${index}`)
    .split('\n')
    .filter((line) => line.includes(`"msg":"${message}"`))
    .map((line) => JSON.parse(line));
}

/** The voters by the last change that the leader wrote: one set, or two during a change. */
function votersBy(leader) {
  const last = linesOf(leader, 'voters changed').at(-1);
  if (last === undefined) return [[0, 1, 2]];
  return last.to.split(' | ').map((set) =>
    set
      .split(',')
      .map((address) => deployment.internal.indexOf(address))
      .sort(),
  );
}

function areVoters(leader, set) {
  return JSON.stringify(votersBy(leader)) === JSON.stringify([[...set].sort()]);
}

async function play(record) {
  await deployment.prepare({}, 5);
  const server = new PlainServer(
    { id: 'i-app', service: 'app', zone: 'plateau', slots: 16 },
    (request, response) => {
      const id = request.headers['attempt-id'];
      response.writeHead(200, { 'attempt-id': id, 'server-seal': 'seal', 'content-length': 2 });
      response.end('ok');
    },
  );
  const platform = new Platform([server]);
  stops.push(
    () => server.stop(),
    () => platform.stop(),
  );
  await server.start(deployment.host(31));
  await platform.start(deployment.provider);
  await network.start(deployment.internal, deployment.host(32));
  stops.push(() => network.stop());
  const configuration = configurationOf(1, [
    { name: 'r-app', path_prefix: '/app/', kind: 'safe', timeout_ms: 3000, service: 'app' },
  ]);
  await deployment.startAll(
    record,
    configuration,
    () => record.add('the proxy ended'),
    environmentOf,
    [FURTHER, SUCCESSOR],
  );
  const leader = [0, 1, 2].find((index) => linesOf(index, 'serving started').length > 0);
  const [first, second] = [0, 1, 2].filter((index) => index !== leader);
  record.add(
    `control ${leader} leads; voters 0, 1, 2; control ${FURTHER}, a further machine, starts`,
  );
  startControl(FURTHER);
  await pause(1500);

  if (IS_TROUBLED) {
    record.add(`control ${first} is cut off from the other control nodes`);
    network.cutOff(first);
    await until('the further machine votes', 10_000, () =>
      areVoters(leader, [leader, second, FURTHER]),
    );
    record.add(`voters: ${votersBy(leader).join(' | ')}; the cut heals`);
    network.heal();
    // Its machine no longer counts as lost `catch_up_s` after the cut.
    await pause(4500);
    record.add(`control ${second} is cut off from the other control nodes`);
    network.cutOff(second);
    let isFrozen = false;
    const began = performance.now();
    while (!areVoters(leader, [leader, first, FURTHER])) {
      if (performance.now() - began > 10_000) throw new Error('the voters did not change');
      if (!isFrozen && votersBy(leader).length === 2) {
        isFrozen = true;
        deployment.signal(`control-${first}`, 'SIGSTOP');
        record.add(`voters: ${votersBy(leader).join(' | ')}; control ${first} freezes`);
      }
      await pause(2);
    }
    record.add(`voters: ${votersBy(leader).join(' | ')}`);
  }
  const status = await deployment.configure(
    record,
    'PUT',
    1,
    { ...configuration, version: 2 },
    undefined,
    [leader],
  );
  if (status !== 200) throw new Error('version 2 was not taken');
  const all = [0, 1, 2, FURTHER];
  const back = IS_TROUBLED ? [first, second, FURTHER] : all;
  if (IS_TROUBLED) {
    record.add(
      'the operator has the acknowledgement of version 2; all processes of the core are killed',
    );
    await Promise.all(all.map((index) => deployment.kill(`control-${index}`)));
    network.heal();
    await pause(500);
    for (const index of back) startControl(index);
    record.add(
      `control ${back.join(', ')} start again with their disks; the machine of control ${leader} is gone for good`,
    );
    await pause(1500);
    startControl(SUCCESSOR);
    record.add(`control ${SUCCESSOR}, an empty machine at another address, is there in its place`);
    back.push(SUCCESSOR);
  }

  const startedAt = performance.now();
  const seen = new Map();
  let readAt;
  while (readAt === undefined && performance.now() - startedAt < READ_BACK_MS) {
    for (const index of back) {
      let answer;
      try {
        const reply = await callOnce(
          'GET',
          deployment.control[index],
          '/-/config',
          undefined,
          {},
          1000,
        );
        answer = String(reply.status);
        if (reply.status === 200 && JSON.parse(reply.body.toString()).version === 2)
          readAt = performance.now();
      } catch (thrown) {
        answer = thrown.code ?? thrown.message;
      }
      seen.set(`${index}: ${answer}`, (seen.get(`${index}: ${answer}`) ?? 0) + 1);
    }
    await pause(250);
  }
  record.add(
    `reads, by control node and answer: ${[...seen].map(([what, times]) => `${what} (${times} times)`).join(', ')}`,
  );
  for (const index of back) {
    const last = linesOf(index, 'leader changed').at(-1);
    record.add(
      `control ${index} told last of a leader at ${last?.time ?? 'no time'}: ${last?.leader ?? 'none'}`,
    );
  }
  return {
    isHeld: readAt !== undefined,
    text:
      readAt === undefined
        ? `version 2, acknowledged, could not be read back within ${READ_BACK_MS / 1000} s`
        : `version 2, acknowledged, was read back after ${Math.round(readAt - startedAt)} ms`,
  };
}

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), play, async () => {
  for (const stop of stops) stop();
  await deployment.stop();
});
