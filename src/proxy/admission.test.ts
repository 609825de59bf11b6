import { expect, test } from 'vitest';
import { Admission } from './admission.js';
import { at, headOf, ROUTING } from './testing/dispatch-fixtures.js';

function admissionOf(): Admission {
  const admission = new Admission();
  admission.configure(ROUTING);
  return admission;
}
test('a request gets route, service, unit and deadline, or nothing', () => {
  const blank = new Admission();
  expect([blank.routing, blank.admit(at(0), headOf(1))]).toEqual([undefined, undefined]);
  const admission = admissionOf();
  expect(admission.admit(at(0), headOf(1, { path: '/none/x' }))).toBe(undefined);
  const request = admission.admit(at(10), headOf(1, { adapter: 'a1', timeLeftMs: 9000 }));
  expect(request).toMatchObject({
    route: { name: 'stream' },
    service: { name: 'llm' },
    modelUnit: 'llm\nm\na1',
    // A client waits no longer than the route allows.
    deadline: 5010,
    phase: 'waiting',
  });
  const plain = admission.admit(at(10), headOf(2, { path: '/safe/x', timeLeftMs: 300 }));
  expect(plain).toMatchObject({ service: { name: 'web' }, modelUnit: '', deadline: 310 });
});
test('the last part of a prompt is its own, and those before are shared', () => {
  const prefix = [
    { id: 'p', tokens: 400 },
    { id: 'q', tokens: 300 },
    { id: 'own', tokens: 50 },
  ];
  const request = admissionOf().admit(at(0), headOf(1, { prefix }));
  expect(request).toMatchObject({ sharedPrefixTokens: 700, sharedPrefixKey: 'm//p,q' });
});
test('services are taken in turn by weight', () => {
  const admission = admissionOf();
  const services: (string | undefined)[] = [];
  for (let id = 0; id < 8; id += 1) {
    if (id === 4) admission.configure(ROUTING);
    services.push(admission.admit(at(0), headOf(id, { path: '/split/x' }))?.service.name);
  }
  expect(services.join()).toBe('llm,llm,web,llm,llm,llm,web,llm');
});
test('who has about the longest time that came lately is at its first try', () => {
  const admission = admissionOf();
  const attempts: (boolean | undefined)[] = [];
  for (const timeLeftMs of [4000, 3930, 3900, undefined, 4000])
    attempts.push(admission.admit(at(0), headOf(1, { timeLeftMs }))?.isFirstAttempt);
  expect(attempts).toEqual([true, true, false, true, false]);
});
