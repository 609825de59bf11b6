import { readFileSync } from 'node:fs';
import { Args, Command, Flags } from '@oclif/core';
import { array, number, string, type } from 'superstruct';
import { mustParseAs } from '../common/Json.js';
import { untilStopped } from '../common/Shutdown.js';
import { CatalogShape, MachineShape } from '../placement/Shapes.js';
import { PlainStand } from './StubBackend.js';
import { PlatformStand } from './StubPlatform.js';
import { RunnerStand } from './StubRunner.js';
import { StoreStand } from './StubStore.js';

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

interface Stand {
  listen(address: string): Promise<number>;
  close(): void;
}

function makeStand(kind: string, text: string): Stand {
  switch (kind) {
    case 'runner':
      return new RunnerStand(mustParseAs(RunnerShape, text, 'the settings'));
    case 'plain': {
      const plain = mustParseAs(PlainShape, text, 'the settings');
      return new PlainStand(plain.id, plain.workMs, plain.records);
    }
    case 'platform': {
      const platform = mustParseAs(PlatformShape, text, 'the settings');
      return new PlatformStand(platform.machines, platform.records);
    }
    default: {
      const store = mustParseAs(StoreShape, text, 'the settings');
      return new StoreStand(store.catalog, store.msPerSize, store.records);
    }
  }
}

export class StandCommand extends Command {
  static override description = 'run a stand-in for an outside system';
  static override args = {
    kind: Args.string({ required: true, options: ['runner', 'plain', 'platform', 'store'] }),
  };
  static override flags = {
    listen: Flags.string({ required: true, description: 'own address' }),
    settings: Flags.string({ required: true, description: 'settings file (JSON)' }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(StandCommand);
    const stand = makeStand(args.kind, readFileSync(flags.settings, 'utf8'));
    await stand.listen(flags.listen);
    await untilStopped();
    stand.close();
    this.exit(0);
  }
}
