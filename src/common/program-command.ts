import { Command, Flags } from '@oclif/core';
import type { Struct } from 'superstruct';
import { reasonOf } from './errors.js';
import { readSettings } from './settings.js';

/** Flags that every program takes; each setting of the file may also be given as a flag. */
export const PROGRAM_FLAGS = {
  settings: Flags.string({ description: 'settings file (JSON); flags go before it' }),
  listen: Flags.string({ description: 'own address, an IP number and a port' }),
  zone: Flags.string({ description: 'own zone' }),
} as const;

export const SEED_FLAGS = {
  seed: Flags.string({ description: 'address of a seed; give it three times', multiple: true }),
} as const;

export abstract class ProgramCommand extends Command {
  /** Checks the settings before any port opens: every fault is one line, and the exit code is 2. */
  protected parseSettings<T, S>(shape: Struct<T, S>, flags: Readonly<Record<string, unknown>>): T {
    const { settings: path, seed, ...given } = flags;
    const { settings, faults } = readSettings(shape, typeof path === 'string' ? path : undefined, {
      ...given,
      ...(seed === undefined ? {} : { seeds: seed }),
    });
    if (settings !== undefined && faults.length === 0) return settings;
    for (const fault of faults) process.stderr.write(`${fault}\n`);
    return this.exit(2);
  }

  /** A port that cannot be opened ends the program with 1 and a line that says which. */
  protected async startOrExit(start: () => Promise<void>): Promise<void> {
    try {
      await start();
    } catch (thrown) {
      process.stderr.write(`cannot start: ${reasonOf(thrown)}\n`);
      this.exit(1);
    }
  }
}
