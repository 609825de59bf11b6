import { expect, test } from 'vitest';
import { importOpenApi } from './open-api.js';

const responses = { 200: { description: 'fine' } };
const document = {
  openapi: '3.0.3',
  info: { title: 'till', version: '1' },
  paths: {
    '/v1/checks': { post: { operationId: 'fileCheck', responses } },
    '/v1/refunds/{id}': {
      get: {
        tags: ['Lookup'],
        responses,
        parameters: [{ name: 'id', in: 'path', required: true, schema: { type: 'string' } }],
      },
    },
    '/v1/notes': {
      post: { 'x-haretrack-type': 'live', tags: ['notes'], responses },
      get: { responses },
    },
  },
};
test('operations are converted to mappings', async () => {
  expect(await importOpenApi(document)).toEqual({
    mappings: [
      { method: 'POST', path: '/v1/checks', type: 'file-check' },
      { method: 'GET', path: '/v1/refunds/*', type: 'lookup' },
      { method: 'POST', path: '/v1/notes', type: 'live' },
    ],
    skipped: ['GET /v1/notes'],
  });
});
test('an invalid document is rejected', async () => {
  await expect(importOpenApi({ openapi: '3.0.3', paths: {} })).rejects.toThrow(/no sound OpenAPI/);
});
