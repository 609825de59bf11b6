import { readFileSync } from 'node:fs';
import { Args, Command, Flags } from '@oclif/core';
import { array, number, string, type } from 'superstruct';
import { mustParseAs } from '../common/json.js';
import { untilStopped } from '../common/shutdown.js';
import { CatalogShape, MachineShape } from '../placement/shapes.js';
import { StubBackend } from './stub-backend.js';
import { StubPlatform } from './stub-platform.js';
import { StubRunner } from './stub-runner.js';
import { StubStore } from './stub-store.js';

const RunnerShape = type({
  id: string(),
  room: number(),
  slots: number(),
  store: string(),
  records: string(),
  tokenMs: number(),
  partMs: number(),
  coldMs: number(),
});
const PlainShape = type({ id: string(), workMs: number(), records: string() });
const PlatformShape = type({ machines: array(MachineShape), records: string() });
const StoreShape = type({ catalog: CatalogShape, msPerSize: number(), records: string() });

interface Stub {
  listen(address: string): Promise<number>;
  close(): void;
}

function makeStub(kind: string, text: string): Stub {
  switch (kind) {
    case 'runner':
      return new StubRunner(mustParseAs(RunnerShape, text, 'the settings'));
    case 'plain': {
      const plain = mustParseAs(PlainShape, text, 'the settings');
      return new StubBackend(plain.id, plain.workMs, plain.records);
    }
    case 'platform': {
      const platform = mustParseAs(PlatformShape, text, 'the settings');
      return new StubPlatform(platform.machines, platform.records);
    }
    default: {
      const store = mustParseAs(StoreShape, text, 'the settings');
      return new StubStore(store.catalog, store.msPerSize, store.records);
    }
  }
}

/** The command `rehearsal stub`: runs a stub of an external system until it is stopped. */
export class StubCommand extends Command {
  static override aliases = ['myth:stand'];
  static override deprecateAliases = true;
  static override description = 'run a stub of an external system';
  static override args = {
    kind: Args.string({ required: true, options: ['runner', 'plain', 'platform', 'store'] }),
  };
  static override flags = {
    listen: Flags.string({ required: true, description: 'address to listen on' }),
    settings: Flags.string({ required: true, description: 'settings file (JSON)' }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(StubCommand);
    const stub = makeStub(args.kind, readFileSync(flags.settings, 'utf8'));
    await stub.listen(flags.listen);
    await untilStopped();
    stub.close();
    this.exit(0);
  }
}
