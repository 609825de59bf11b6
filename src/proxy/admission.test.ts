import { expect, test } from 'vitest';
import { Admission } from './admission.js';
import { at, headOf, ROUTING } from './testing/dispatch-fixtures.js';

function admissionOf(): Admission {
  const admission = new Admission();
  admission.configure(ROUTING);
  return admission;
}
test('a request gets a route, a service, a model unit and a deadline, or is not admitted', () => {
  const unconfigured = new Admission();
  expect([unconfigured.routing, unconfigured.admit(at(0), headOf(1))]).toEqual([
    undefined,
    undefined,
  ]);
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
test('all blocks of a prompt but the last are shared', () => {
  const prefix = [
    { id: 'p', tokens: 400 },
    { id: 'q', tokens: 300 },
    { id: 'own', tokens: 50 },
  ];
  const request = admissionOf().admit(at(0), headOf(1, { prefix }));
  expect(request).toMatchObject({ sharedPrefixTokens: 700, sharedPrefixKey: 'm//p,q' });
});
test('services are picked by weighted round-robin', () => {
  const admission = admissionOf();
  const services: (string | undefined)[] = [];
  for (let id = 0; id < 8; id += 1) {
    if (id === 4) admission.configure(ROUTING);
    services.push(admission.admit(at(0), headOf(id, { path: '/split/x' }))?.service.name);
  }
  expect(services.join()).toBe('llm,llm,web,llm,llm,llm,web,llm');
});
test('a request is admitted alike whatever time earlier requests of its route had left', () => {
  const admission = admissionOf();
  const head = headOf(1, { timeLeftMs: 3900 });
  const first = admission.admit(at(0), head);
  for (const timeLeftMs of [5000, 100, undefined])
    admission.admit(at(0), headOf(2, { timeLeftMs }));
  expect(admission.admit(at(0), head)).toEqual(first);
});
