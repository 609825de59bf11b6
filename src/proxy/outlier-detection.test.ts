import { expect, test } from 'vitest';
import { OutlierDetection } from './outlier-detection.js';
import { at } from './testing/dispatch-fixtures.js';

test('a runner is a suspect for 4 s after a failure, and for up to 16 s after further ones', () => {
  const outlier = new OutlierDetection();
  expect(outlier.isSuspect(at(0))).toBe(false);
  outlier.onFailure(at(0));
  expect([outlier.isSuspect(at(3999)), outlier.isSuspect(at(4000))]).toEqual([true, false]);
  outlier.onFailure(at(4000));
  expect([outlier.isSuspect(at(11_999)), outlier.isSuspect(at(12_000))]).toEqual([true, false]);
  outlier.onFailure(at(12_000));
  outlier.onFailure(at(28_000));
  expect([outlier.isSuspect(at(43_999)), outlier.isSuspect(at(44_000))]).toEqual([true, false]);
});

test('failures at the same time count once', () => {
  const outlier = new OutlierDetection();
  for (let failure = 0; failure < 5; failure += 1) outlier.onFailure(at(10));
  expect(outlier.isSuspect(at(4010))).toBe(false);
});

test('a success halves the number of failures', () => {
  const outlier = new OutlierDetection();
  outlier.onFailure(at(0));
  outlier.onFailure(at(4000));
  outlier.onSuccess();
  outlier.onFailure(at(12_000));
  expect([outlier.isSuspect(at(19_999)), outlier.isSuspect(at(20_000))]).toEqual([true, false]);
});
