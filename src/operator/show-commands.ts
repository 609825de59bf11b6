/** Commands that show the state of control nodes. */
import { array, boolean, number, string, type, type Infer } from 'superstruct';
import { IntentShape, PlacesShape } from '../placement/shapes.js';
import { OPERATOR_FLAGS, OperatorCommand } from './operator-command.js';

/** The fields of the reply to `GET /status` that are printed; the names are those of the API. */
const StatusShape = type({
  me: string(),
  standing: string(),
  membersHoldState: boolean(),
  role: string(),
  epoch: number(),
  leader: string(),
  serving: boolean(),
  mayOrder: boolean(),
  leaseLeftMs: number(),
  voters: array(string()),
  unsound: array(string()),
  config: string(),
  placesVersion: string(),
  machines: number(),
  members: array(type({ id: string(), zone: string(), acked: string(), parent: string() })),
  intents: array(IntentShape),
});

/** Prints the counters of each given control node. */
export class CountersCommand extends OperatorCommand {
  static override aliases = ['word:counters'];
  static override deprecateAliases = true;
  static override description = "print a control node's counters";
  static override flags = OPERATOR_FLAGS;

  async run(): Promise<void> {
    const { flags } = await this.parse(CountersCommand);
    for (const api of flags.api) {
      const { value } = await this.operator([api]).request('GET', '/counters');
      if (flags.json) {
        this.log(JSON.stringify(value));
        continue;
      }
      this.log(api);
      for (const [name, count] of Object.entries(value)) this.log(`  ${name} ${String(count)}`);
    }
  }
}

/** Prints the state of the cluster as the leader sees it, or as another node does if no leader replies. */
export class StatusCommand extends OperatorCommand {
  static override aliases = ['word:status'];
  static override deprecateAliases = true;
  static override description =
    'show the leader, epoch, scores, partitions, members, replicas, and the models that wait for a load';
  static override flags = OPERATOR_FLAGS;

  async run(): Promise<void> {
    const { flags } = await this.parse(StatusCommand);
    const operator = this.operator(flags.api);
    let reply = await operator.request('GET', '/status');
    // Only the status of the leader has the replicas and the waiting models; every node knows the leader.
    for (const api of flags.api) {
      if (reply.value['me'] === reply.value['leader']) break;
      const other = await this.operator([api]).request('GET', '/status');
      if (other.status === 200) reply = other;
    }
    const { value } = reply;
    if (reply.status !== 200 || flags.json || !StatusShape.is(value)) {
      this.printReply(reply, flags.json);
      return;
    }
    this.#print(value, value);
  }

  #print(status: Infer<typeof StatusShape>, raw: Record<string, unknown>): void {
    this.log(
      `node ${status.me}: ${status.standing}, ${status.role}; epoch ${status.epoch}, leader ${status.leader || 'none'}`,
    );
    if (status.standing !== 'sound')
      this.log(
        status.membersHoldState
          ? 'without state, but members hold a configuration: see operator force-new-cluster'
          : 'not yet counted in majorities',
      );
    this.log(
      `serving ${status.serving}, may order ${status.mayOrder}, lease left ${status.leaseLeftMs} ms`,
    );
    this.log(`voters ${status.voters.join(' ')}`);
    this.log(`scores ${JSON.stringify(raw['scores'])}`);
    this.log(
      `config ${status.config}, places ${status.placesVersion}, machines ${status.machines}`,
    );
    this.log(
      `parts ${JSON.stringify(raw['parts'])}${status.unsound.length > 0 ? `, unsound: ${status.unsound.join(' ')}` : ''}`,
    );
    this.log(`members ${status.members.length}`);
    for (const member of status.members)
      this.log(
        `  ${member.id} ${member.zone} config ${member.acked} under ${member.parent || 'a control node'}`,
      );
    const places: unknown = raw['places'];
    if (PlacesShape.is(places)) {
      this.log('models');
      for (const place of places.places) {
        const [first, second] = place.seats;
        const pair = `${first?.runner ?? '-'} / ${second?.runner ?? '-'}`;
        this.log(`  ${place.model} ${pair}${place.wait === '' ? '' : ` (${place.wait})`}`);
      }
    }
    for (const intent of status.intents)
      this.log(`under way: ${intent.verb} ${intent.model} ${intent.adapter} at ${intent.runner}`);
  }
}
