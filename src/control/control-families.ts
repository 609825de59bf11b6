/** Maps the metrics of a control node to metric families, with the names that operators see. */

import {
  counterFamily,
  gaugeFamily,
  labelledFamily,
  type MetricFamily,
} from '../metrics/exposition.js';
import { secondsOf, type WriteFigures } from '../metrics/write-latency.js';
import {
  REFUSAL_REASONS,
  REPLICA_STATES,
  UNCLEAR_REASONS,
  type ControlMetrics,
  type EventCounts,
  type EditCounts,
  type RefusalReason,
  type ReplicaState,
  type UnclearReason,
} from './control-metrics.js';

const PREFIX = 'haretrack_control_';

function gauge(name: string, help: string, value: number | boolean): MetricFamily {
  return gaugeFamily(`${PREFIX}${name}`, help, value);
}

function counter(name: string, help: string, value: number): MetricFamily {
  return counterFamily(`${PREFIX}${name}`, help, value);
}

/** Leadership, lease and contact with a majority. */
function leadershipFamilies(node: ControlMetrics): MetricFamily[] {
  // A node that has had no contact yet must not report a contact age of zero.
  const contactAge = secondsOf(node.majorityContactAgeMs ?? Infinity);
  return [
    gauge('epoch', 'Term of the election; odd while one is under way.', node.epoch),
    gauge('leader_known', 'Whether this node follows a leader or leads.', node.isLeaderKnown),
    gauge('leading', 'Whether a majority has granted this node its term.', node.isLeading),
    gauge('serving', 'Whether this node leads and decides on orders.', node.isServing),
    gauge('may_order', 'Whether this node may give orders to runners now.', node.mayOrder),
    gauge('lease_left_seconds', 'What is left of the lease.', secondsOf(node.leaseLeftMs)),
    gauge(
      'majority_contact_age_seconds',
      'Time since a majority of the voters was last proven in contact; +Inf if it never was.',
      contactAge,
    ),
  ];
}

function voterFamilies({ voters }: ControlMetrics): MetricFamily[] {
  return [
    gauge('voters', 'Voters, of both sets while a joint change is under way.', voters.members),
    gauge('voters_reachable', 'Voters, this node included, that answer it.', voters.reachable),
    gauge('voter', 'Whether this node votes.', voters.isVoter),
    gauge('joint_change', 'Whether a change of the voters is under way.', voters.isJoint),
  ];
}

/** The state of the replica, and the versions of its configuration. */
function replicaFamilies(node: ControlMetrics): MetricFamily[] {
  const { configHeld, configCommitted } = node;
  return [
    labelledFamily(
      'gauge',
      `${PREFIX}replica_state`,
      '1 for the state that the replica is in; it counts only while it is sound.',
      'state',
      REPLICA_STATES,
      (state: ReplicaState): number => Number(state === node.replica),
    ),
    gauge('unsound_parts', 'Parts whose copy here cannot be trusted.', node.corruptPartitions),
    gauge('config_held_epoch', 'Term of the configuration in this replica.', configHeld.epoch),
    gauge('config_held_count', 'Count of the configuration in this replica.', configHeld.count),
    gauge(
      'config_committed_epoch',
      'Term of the newest configuration known to be committed.',
      configCommitted.epoch,
    ),
    gauge(
      'config_committed_count',
      'Count of the newest configuration known to be committed.',
      configCommitted.count,
    ),
  ];
}

function orderFamilies(orders: EditCounts): MetricFamily[] {
  return [
    counter('orders_accepted_total', 'Orders committed here.', orders.accepted),
    counter(
      'orders_acknowledged_again_total',
      'Accepted orders that had been taken before and came again.',
      orders.acknowledgedAgain,
    ),
    labelledFamily(
      'counter',
      `${PREFIX}orders_refused_total`,
      'Orders refused for good; too-old is an evacuation past its age.',
      'reason',
      REFUSAL_REASONS,
      (reason: RefusalReason): number => orders.refused[reason],
    ),
    labelledFamily(
      'counter',
      `${PREFIX}orders_unclear_total`,
      'Orders left without a clear answer.',
      'reason',
      UNCLEAR_REASONS,
      (reason: UnclearReason): number => orders.unclear[reason],
    ),
    counter(
      'orders_unserved_total',
      'Calls turned away without effect since no leader was known.',
      orders.unserved,
    ),
    counter('orders_forwarded_total', 'Orders passed on to the leader.', orders.forwarded),
  ];
}

function eventFamilies(events: EventCounts): MetricFamily[] {
  return [
    counter('elections_total', 'Elections that this node started.', events.electionsStarted),
    counter('votes_granted_total', 'Terms that this node granted.', events.votesGranted),
    counter('leader_changes_total', 'Changes of the leader seen here.', events.leaderChanges),
    counter(
      'voter_changes_total',
      'Voter sets taken up, joint ones included.',
      events.voterChanges,
    ),
    counter('repairs_total', 'Completed repairs of this replica.', events.repairs),
    counter('copies_mended_total', 'Copies of others sent anew.', events.copiesRepaired),
    counter(
      'leaderless_list_readings_total',
      'Readings of the list of runners while no leader was heard to do it.',
      events.leaderlessListReads,
    ),
  ];
}

function sessionFamilies({ sessions }: ControlMetrics): MetricFamily[] {
  return [
    gauge('sessions', 'Agents with a session here.', sessions.open),
    gauge('sessions_behind', 'Of those, the ones behind in configuration.', sessions.behind),
    gauge('versions_behind', 'How far the last of them is behind.', sessions.versionsBehind),
  ];
}

function diskFamilies(disk: WriteFigures): MetricFamily[] {
  return [
    counter('disk_writes_total', 'Writes synced to the disk.', disk.done),
    counter('disk_writes_failed_total', 'Writes that failed and are tried again.', disk.failed),
    counter('disk_writes_slow_total', 'Ended writes that took over 0.5 s.', disk.slow),
    counter('disk_write_seconds_total', 'Time in ended writes.', secondsOf(disk.totalMs)),
    gauge('disk_writes_under_way', 'Writes that have not ended.', disk.underWay),
    gauge('disk_write_oldest_seconds', 'Age of the oldest of them.', secondsOf(disk.oldestMs)),
  ];
}

/** All metrics of a control node's process. */
export function controlFamilies(node: ControlMetrics, disk: WriteFigures): MetricFamily[] {
  return [
    ...leadershipFamilies(node),
    ...voterFamilies(node),
    ...replicaFamilies(node),
    ...orderFamilies(node.edits),
    ...eventFamilies(node.events),
    ...sessionFamilies(node),
    ...diskFamilies(disk),
  ];
}
