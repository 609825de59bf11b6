import { CheckCommand } from './check/check-command.js';
import { ProxyCommand } from './proxy/proxy-command.js';
import { AgentCommand } from './agent/agent-command.js';
import { ControlCommand } from './control/control-command.js';
import { FleetCommand } from './rehearsal/fleet-command.js';
import { MeasureCommand } from './rehearsal/measure-command.js';
import { SimulateControlCommand } from './simulation/commands/simulate-control-command.js';
import { ScaleCommand } from './rehearsal/scale-command.js';
import { StormCommand } from './rehearsal/storm-command.js';
import { StubCommand } from './rehearsal/stub-command.js';
import { SameRunsCommand } from './simulation/same-runs/same-runs-command.js';
import { ExhaustiveCommand } from './simulation/exhaustive/exhaustive-command.js';
import {
  EditStatusCommand,
  EvacuateCommand,
  RestoreCommand,
  ForceNewClusterCommand,
  PutCommand,
  RowsCommand,
  SetCommand,
  ReplaceVoterCommand,
} from './operator/edit-commands.js';
import { ImportCommand } from './operator/import-command.js';
import { CountersCommand, StatusCommand } from './operator/show-commands.js';
import { MutantCommand } from './simulation/mutants/mutant-command.js';
import { TableCommand } from './operator/table-command.js';

/** All subcommands of the `haretrack` binary. */
export const COMMANDS = {
  check: CheckCommand,
  proxy: ProxyCommand,
  agent: AgentCommand,
  control: ControlCommand,
  'rehearsal:control': SimulateControlCommand,
  'rehearsal:exhaustive': ExhaustiveCommand,
  'rehearsal:fleet': FleetCommand,
  'rehearsal:measure': MeasureCommand,
  'rehearsal:same-runs': SameRunsCommand,
  'rehearsal:scale': ScaleCommand,
  'rehearsal:stub': StubCommand,
  'rehearsal:storm': StormCommand,
  'simulation:mutants': MutantCommand,
  'operator:counters': CountersCommand,
  'operator:edit': EditStatusCommand,
  'operator:evacuate': EvacuateCommand,
  'operator:restore': RestoreCommand,
  'operator:force-new-cluster': ForceNewClusterCommand,
  'operator:import': ImportCommand,
  'operator:put': PutCommand,
  'operator:rows': RowsCommand,
  'operator:set': SetCommand,
  'operator:status': StatusCommand,
  'operator:replace-voter': ReplaceVoterCommand,
  'operator:table': TableCommand,
};
