import { Command, Flags } from '@oclif/core';
import type { Struct } from 'superstruct';
import { reasonOf } from './errors.js';
import { readSettings } from './settings.js';

/** Flags of every program; each setting of the file may also be given as a flag. */
export const PROGRAM_FLAGS = {
  settings: Flags.string({ description: 'settings file (JSON); flags take precedence over it' }),
  listen: Flags.string({ description: 'own address: an IP address and a port' }),
  zone: Flags.string({ description: 'own zone' }),
} as const;

/** Flags of programs that connect to the seeds. */
export const SEED_FLAGS = {
  seed: Flags.string({
    description: 'address of a seed; must be given three times',
    multiple: true,
  }),
} as const;

/** Base class of the commands that run a program until it is stopped. */
export abstract class ProgramCommand extends Command {
  /** Checks the settings before any port opens. If there are faults, it prints each on a line and exits with code 2. */
  protected parseSettings<T, S>(shape: Struct<T, S>, flags: Readonly<Record<string, unknown>>): T {
    const { settings: path, seed, ...flagValues } = flags;
    const { settings, faults } = readSettings(shape, typeof path === 'string' ? path : undefined, {
      ...flagValues,
      ...(seed === undefined ? {} : { seeds: seed }),
    });
    if (settings !== undefined && faults.length === 0) return settings;
    for (const fault of faults) process.stderr.write(`${fault}\n`);
    return this.exit(2);
  }

  /** Starts the program. If that fails, as for a port that is in use, it prints the reason and exits with code 1. */
  protected async startOrExit(start: () => Promise<void>): Promise<void> {
    try {
      await start();
    } catch (thrown) {
      process.stderr.write(`cannot start: ${reasonOf(thrown)}\n`);
      this.exit(1);
    }
  }
}
