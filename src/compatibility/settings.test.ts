import { expect, test } from 'vitest';
import {
  TableAgentSettingsShape,
  TableControlSettingsShape,
  TableProxySettingsShape,
} from '../common/settings.js';
import { expectGolden } from './testing/golden.js';

const SEEDS = ['10.0.0.1:7000', '10.0.1.1:7000', '10.0.2.1:7000'];
const NODE = { listen: '10.0.0.1:7000', zone: 'north' };

/** All that a shape accepts, and what it fills in. */
const SHAPES = {
  control: {
    shape: TableControlSettingsShape,
    least: {
      ...NODE,
      api: '10.0.0.1:7001',
      seeds: SEEDS,
      data: 'data',
      platform: '10.0.0.9:7002',
      store: '10.0.0.9:7003',
    },
  },
  agent: {
    shape: TableAgentSettingsShape,
    least: { ...NODE, feed: '127.0.0.1:7004', seeds: SEEDS },
  },
  proxy: { shape: TableProxySettingsShape, least: { ...NODE, link: '127.0.0.1:7004' } },
} as const;

test('the settings files keep their keys, which of them are required, and the defaults', () => {
  const seen: Record<string, object> = {};
  for (const [program, { shape, least }] of Object.entries(SHAPES)) {
    const [missing] = shape.validate({}, { coerce: true });
    const required = missing?.failures().map(({ path }) => path.join('.'));
    const [error, settings] = shape.validate(least, { coerce: true });
    expect(error).toBeUndefined();
    seen[program] = { keys: Object.keys(shape.schema), required, settings };
  }
  expectGolden('operators/settings.json', seen);
});

test('an unknown key of a settings file is a fault', () => {
  for (const { shape, least } of Object.values(SHAPES)) {
    const [error] = shape.validate({ ...least, unknown: 1 }, { coerce: true });
    expect(error?.failures().map(({ path }) => path.join('.'))).toEqual(['unknown']);
  }
});
