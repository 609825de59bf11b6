/** Tests of a fault that is not fixed: the policy table's router refuses requests after a share of their time (KNOWN-RED.txt). */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import { NO_VERSION } from '../common/version.js';
import { compile } from '../policy/language.js';
import { PolicyRouter } from './policy-router.js';
import { POLICY_ROUTER_DEFAULTS } from './policy-router-types.js';

const SEED = 43;
const RUNS = 200;
const LIMIT_MS = 4000;
const RUN_MS = 100;
/** Time for the tick, the observed deviation of runs, and a refusal. */
const MARGIN_MS = 300;
const TICK_MS = 50;

/** A router whose only place for a model is taken until `freeAtMs`; returns what becomes of a request that waits for it. */
function outcomeOf(freeAtMs: number): string {
  const router = new PolicyRouter({
    ...POLICY_ROUTER_DEFAULTS,
    freshnessBoundMs: 2500,
    proxyId: 'p',
    maxPending: 20,
  });
  const { table } = compile('map POST /c to check\nrow check m weight 1 take 1000/s late 4s once');
  const config = JSON.stringify({ number: 1, table, emptied: [], voters: [] });
  router.onUpdate(moment(0), 'config', { epoch: 2, count: 1 }, config);
  const runners = [{ id: 'a', address: 'a:1', zone: 'z', service: '', slots: 1, upMs: 60_000 }];
  const seats = [{ runner: 'a', primary: true, adapters: [] }];
  const places = JSON.stringify({
    places: [{ model: 'm', seats, wait: '' }],
    runners,
    flows: 1,
    shares: [],
  });
  router.onUpdate(moment(0), 'places', { epoch: 2, count: 2 }, places);
  confirmFreshness(router, 0);
  request(router, 1, 0);
  router.onRunCompleted(moment(RUN_MS), 1);
  request(router, 2, RUN_MS);
  request(router, 3, RUN_MS);
  router.drainVerdicts();
  for (let now = RUN_MS; now <= RUN_MS + LIMIT_MS; now += TICK_MS) {
    confirmFreshness(router, now);
    if (now - RUN_MS >= freeAtMs) router.onRunCompleted(moment(now), 2);
    router.tick(moment(now));
    const verdict = router.drainVerdicts().find(({ id }) => id === 3);
    if (verdict) return verdict.do;
  }
  return 'none';
}

function confirmFreshness(router: PolicyRouter, now: number): void {
  router.onFreshnessConfirmed(router.startFreshnessRequest(moment(now)), NO_VERSION, 0);
}

function request(router: PolicyRouter, id: number, now: number): void {
  const info = { id, method: 'POST', path: '/c', model: 'm', adapter: '', prefixBlocks: [] };
  router.onRequest(moment(now), info);
}

test('a request of the policy table runs if the wait for a place and its run fit into its time limit', () => {
  const fitting = fc.integer({ min: 0, max: LIMIT_MS - RUN_MS - MARGIN_MS });
  const property = fc.property(fitting, (freeAtMs) => {
    expect(outcomeOf(freeAtMs)).toBe('run');
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
});
