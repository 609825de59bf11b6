import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Args, Command, Flags } from '@oclif/core';
import { reasonOf } from '../common/errors.js';
import { Callers, summarizeOutcomes } from './callers.js';
import { DEPLOYMENTS } from './deployment.js';
import { Fleet, type ProgramSelector } from './fleet.js';
import { Rehearsal } from './rehearsal.js';

/** Interval at which the current leader is polled, ms. */
const LEADER_POLL_MS = 500;

/** The command `rehearsal fleet`: runs a deployment with traffic, optionally with failures, and checks its records. */
export class FleetCommand extends Command {
  static override aliases = ['myth:fleet'];
  static override deprecateAliases = true;
  static override description =
    'run a whole deployment on loopback, send its traffic, and check the records';
  static override args = {
    deployment: Args.string({ required: true, options: Object.keys(DEPLOYMENTS) }),
  };
  static override flags = {
    seconds: Flags.integer({ default: 30, description: 'duration of the traffic in seconds' }),
    seed: Flags.integer({ default: 1, description: 'seed of the traffic' }),
    rehearse: Flags.string({
      default: 'none',
      description: 'failures to cause: none or all',
      options: ['none', 'all'],
    }),
    step: Flags.string({
      default: '',
      description: 'run only the step with this name',
    }),
    keep: Flags.boolean({ default: false, description: 'keep the logs and records' }),
    factor: Flags.integer({ default: 1, description: 'multiplier of the traffic rate' }),
    'other-build': Flags.string({
      description: 'bin/run.js of another build, which half of the processes run',
    }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(FleetCommand);
    const deployment = DEPLOYMENTS[args.deployment];
    if (!deployment) return this.exit(2);
    const root = mkdtempSync(join(tmpdir(), `haretrack-${deployment.name}-`));
    const programOf = mixedPrograms(flags['other-build']);
    const fleet = new Fleet(deployment, root, programOf);
    const say = this.log.bind(this);
    let isGood = false;
    const leaders = new Set<string>();
    let leaderPoll: NodeJS.Timeout | undefined;
    // A signal to this process must not leave the deployment's processes behind.
    async function stopAll(): Promise<void> {
      await fleet.stop();
      process.exit(1);
    }
    process.once('SIGTERM', stopAll);
    process.once('SIGINT', stopAll);
    try {
      const rehearsal = new Rehearsal(fleet, say);
      await rehearsal.startFleet();
      leaderPoll = setInterval(() => {
        void rehearsal.leaderName().then((name) => leaders.add(name));
      }, LEADER_POLL_MS);
      const callers = new Callers(fleet.edges.map(proxyAddressOf), flags.seed);
      isGood = await rehearsal.run(callers, {
        seconds: flags.seconds,
        factor: flags.factor,
        isFailing: flags.rehearse === 'all',
        only: flags.step,
      });
      for (const row of summarizeOutcomes(callers.records)) this.log(JSON.stringify(row));
      writeFileSync(join(root, 'callers.json'), JSON.stringify(callers.records));
    } catch (thrown) {
      this.log(`rehearsal ended early: ${reasonOf(thrown)}`);
    } finally {
      clearInterval(leaderPoll);
      for (const name of leaders)
        this.log(`${name} led, of ${programOf(name) === undefined ? 'this' : 'the other'} build`);
      await fleet.stop();
      if (flags.keep || !isGood) this.log(`records and logs: ${root}`);
      else rmSync(root, { recursive: true, force: true });
    }
    this.exit(isGood ? 0 : 1);
  }
}

/**
 * Lets every second control node, agent and proxy run the other build, if there is one. An agent and the proxy beside it
 * run different builds.
 */
function mixedPrograms(otherBuild: string | undefined): ProgramSelector {
  return (name) => {
    const [, program = '', index = ''] = /^(mind|link|flow)-(\d+)$/.exec(name) ?? [];
    if (program === '') return undefined;
    const isOther = Number(index) % 2 === (program === 'flow' ? 1 : 0);
    return isOther ? otherBuild : undefined;
  };
}

function proxyAddressOf(edge: { readonly proxy: string }): string {
  return edge.proxy;
}
