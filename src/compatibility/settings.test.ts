import { expect, test } from 'vitest';
import {
  TableAgentSettingsShape,
  TableControlSettingsShape,
  TableProxySettingsShape,
} from '../common/settings.js';
import { expectGolden } from './testing/golden.js';

const SEEDS = ['10.0.0.1:7000', '10.0.1.1:7000', '10.0.2.1:7000'];
const NODE = { listen: '10.0.0.1:7000', zone: 'north' };

/** The shape of each program's settings, and minimal settings that it accepts. */
const SHAPES = {
  control: {
    shape: TableControlSettingsShape,
    minimal: {
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
    minimal: { ...NODE, feed: '127.0.0.1:7004', seeds: SEEDS },
  },
  proxy: { shape: TableProxySettingsShape, minimal: { ...NODE, link: '127.0.0.1:7004' } },
} as const;

test('the settings files keep their keys, required keys and defaults', () => {
  const seen: Record<string, object> = {};
  for (const [program, { shape, minimal }] of Object.entries(SHAPES)) {
    const [missing] = shape.validate({}, { coerce: true });
    const required = missing?.failures().map(({ path }) => path.join('.'));
    const [error, settings] = shape.validate(minimal, { coerce: true });
    expect(error).toBeUndefined();
    seen[program] = { keys: Object.keys(shape.schema), required, settings };
  }
  expectGolden('operators/settings.json', seen);
});

test('an unknown key of a settings file is a fault', () => {
  for (const { shape, minimal } of Object.values(SHAPES)) {
    const [error] = shape.validate({ ...minimal, unknown: 1 }, { coerce: true });
    expect(error?.failures().map(({ path }) => path.join('.'))).toEqual(['unknown']);
  }
});
