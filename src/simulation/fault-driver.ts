import type { ControlNode } from './control-node.js';
import { toleratedLosses } from './options.js';
import type { SimulationOptions } from './options.js';
import type { Fault, FaultKind, Schedule, Target, When } from './faults.js';
import type { FaultTargets } from './fault-targets.js';
import { LinkFaults } from './link-faults.js';
import { MachineFaults, type FaultContext, type Undo } from './machine-faults.js';

/** Number of injected faults by kind; kinds without any are absent. */
export type FaultCounts = Partial<Record<FaultKind, number>>;

/** What the fault driver is created with. */
export interface FaultDriverSettings extends FaultContext {
  /** The options of the run. */
  readonly options: SimulationOptions;
  /** Finds the target nodes of faults. */
  readonly targets: FaultTargets;
  /** The ids of the operators. */
  readonly operators: readonly string[];
  /** Sets the share of answers to operators that is lost from now on. */
  readonly loseAnswers: (share: number) => void;
  /** True time at which all faults end. */
  readonly endsAt: number;
  /** Receives a line at the start and at the end of each fault. */
  readonly log: (line: string) => void;
}

/** A fault that would exceed the loss budget is retried at this interval for this time, then dropped. */
const RETRY_INTERVAL_MS = 250;
const MAX_RETRY_SPAN_MS = 10_000;
/** A fault that waits for an event is injected after this time if the event does not occur. */
const MAX_EVENT_WAIT_MS = 3000;

/**
 * Carries out a schedule: injects each fault at its time or after its event, into the node that its target designates
 * then, within the loss budget of the run. All faults that are active at the end are undone.
 */
export class FaultDriver {
  readonly #settings: FaultDriverSettings;
  readonly #machines: MachineFaults;
  readonly #links: LinkFaults;
  readonly #activeUndos = new Set<Undo>();
  #hasEnded = false;
  readonly #injected: FaultCounts = {};

  constructor(settings: FaultDriverSettings) {
    this.#settings = settings;
    this.#machines = new MachineFaults(settings);
    this.#links = new LinkFaults(settings);
  }

  /** Number of faults injected so far, by kind. */
  get injectedByKind(): FaultCounts {
    return this.#injected;
  }

  /** Schedules all faults, and the end of those that are active at `endsAt`. */
  begin(schedule: Schedule): void {
    for (const fault of schedule) this.#plan(fault);
    const { after, endsAt, now } = this.#settings;
    after(endsAt - now(), () => this.#end());
  }

  #plan(fault: Fault): void {
    const { after, now } = this.#settings;
    const { when } = fault;
    const onDue = (eventNode: string) => this.#onDue(fault, eventNode);
    if (when.kind === 'at') {
      after(when.at - now(), () => onDue(''));
      return;
    }
    after(when.from - now(), () => this.#await(fault, when));
  }

  /** Injects the fault after its event or, if that does not occur, after `MAX_EVENT_WAIT_MS`. */
  #await(fault: Fault, when: Extract<When, { kind: 'after' }>): void {
    const { after, events } = this.#settings;
    const onDue = (eventNode: string) => this.#onDue(fault, eventNode);
    let isDue = false;
    function beginOnce(eventNode: string): void {
      if (isDue) return;
      isDue = true;
      after(when.delay, () => onDue(eventNode));
    }
    events.once(when.event, beginOnce);
    after(MAX_EVENT_WAIT_MS, () => beginOnce(''));
  }

  #onDue(fault: Fault, eventNode: string): void {
    this.#tryInject(fault, eventNode, this.#settings.now() + MAX_RETRY_SPAN_MS);
  }

  #tryInject(fault: Fault, eventNode: string, deadline: number): void {
    const { now, after, log } = this.#settings;
    if (this.#hasEnded) return;
    const undo = this.#begin(fault, eventNode);
    if (undo === undefined) {
      if (now() < deadline)
        after(RETRY_INTERVAL_MS, () => this.#tryInject(fault, eventNode, deadline));
      return;
    }
    this.#injected[fault.kind] = (this.#injected[fault.kind] ?? 0) + 1;
    log(`fault ${JSON.stringify(fault)}`);
    this.#activeUndos.add(undo);
    const durationMs = 'forMs' in fault ? fault.forMs : 0;
    after(durationMs, () => this.#endFault(undo, fault));
  }

  #endFault(undo: Undo, fault: Fault): void {
    if (!this.#activeUndos.delete(undo)) return;
    this.#settings.log(`end of ${fault.kind}`);
    undo();
  }

  #end(): void {
    this.#hasEnded = true;
    this.#settings.log('all faults end');
    const undos = [...this.#activeUndos];
    this.#activeUndos.clear();
    for (const undo of undos) undo();
    this.#settings.settled.disturb();
  }

  /** Begins a fault; returns `undefined` if it has no target or would exceed the loss budget now. */
  #begin(fault: Fault, eventNode: string): Undo | undefined {
    switch (fault.kind) {
      case 'killAll':
        return this.#machines.killAll();
      case 'powerLossAll':
        return this.#machines.losePowerAll(fault.unsynced);
      case 'seedTurnover':
        return this.#replaceSeeds();
      case 'answersLost':
        return this.#loseAnswers(fault.share);
      case 'agentKill':
      case 'agentFreeze':
      case 'agentCut':
        return this.#beginAgent(fault.kind, fault.agent);
      default:
        return this.#beginTargeted(fault, fault.target, eventNode);
    }
  }

  #beginTargeted(fault: Fault, target: Target, eventNode: string): Undo | undefined {
    const node = this.#settings.targets.find(target, eventNode);
    if (!node) return undefined;
    return this.#beginWithoutLoss(fault, node) ?? this.#beginLoss(fault, node);
  }

  /** Begins a fault that does not count against the loss budget; returns `undefined` for all other kinds. */
  #beginWithoutLoss(fault: Fault, node: ControlNode): Undo | undefined {
    const { operators } = this.#settings;
    switch (fault.kind) {
      case 'resets':
        this.#links.reset(node, fault.share);
        return noUndo;
      case 'clockRate':
        node.process.setRate(fault.rate);
        return noUndo;
      case 'runnerCut':
        return this.#links.cutRunners(node);
      case 'operatorCut':
        return this.#links.cutOperators(node, operators, fault.direction);
      case 'slowCalls':
        return this.#links.slowOperators(node, operators, fault.delayMs);
      default:
        return undefined;
    }
  }

  #beginLoss(fault: Fault, node: ControlNode): Undo | undefined {
    const { budget, targets } = this.#settings;
    const besides = fault.kind === 'cut' ? targets.othersAfter(node, fault.besides) : [];
    const lost = [node, ...besides].map(idOf);
    const isDiskLost = ['wipe', 'replace', 'oldDisk', 'leave'].includes(fault.kind);
    const mayLose = isDiskLost ? budget.mayLoseDisks(lost) : budget.mayLose(lost);
    if (!mayLose) return undefined;
    switch (fault.kind) {
      case 'disk':
        return this.#troubleDisk(node, fault.trouble);
      case 'cut':
        return this.#links.cut(node, besides, fault);
      case 'slowLinks':
        return this.#links.slow(node, fault.delayMs);
      default:
        return this.#beginMachine(fault, node);
    }
  }

  #beginMachine(fault: Fault, node: ControlNode): Undo | undefined {
    switch (fault.kind) {
      case 'kill':
        return this.#machines.kill(node);
      case 'powerLoss':
        return this.#machines.losePower(node, fault.unsynced);
      case 'freeze':
        return this.#machines.freeze(node);
      case 'freezeAtOrder':
        return this.#machines.freezeAtOrder(node);
      case 'restart':
        return this.#machines.restart(node);
      case 'leave':
        return this.#leave(node, fault.planned);
      case 'replace':
        return this.#machines.replace(node, fault);
      case 'wipe':
        return this.#machines.wipe(node, fault);
      case 'oldDisk':
        return this.#machines.restoreOldDisk(node, fault.ageMs);
      default:
        return undefined;
    }
  }

  #leave(node: ControlNode, isPlanned: boolean): Undo | undefined {
    const { budget, fleet, options } = this.#settings;
    const leavesEnough = toleratedLosses(options.nodes) + 1 < fleet.present.length;
    if (!budget.mayLeave() || !leavesEnough) return undefined;
    this.#machines.leave(node, isPlanned);
    return noUndo;
  }

  #troubleDisk(node: ControlNode, trouble: 'slow' | 'stalled' | 'full'): Undo {
    const { budget, settled } = this.#settings;
    budget.begin(node.id);
    settled.beginUnsteady();
    node.disk.setTrouble(trouble);
    function undo(): void {
      node.disk.setTrouble('none');
      budget.end(node.id);
      settled.endUnsteady();
    }
    return undo;
  }

  /** Changes the configured seeds: lost machines first, then the newest ones, which a voter would not choose first. */
  #replaceSeeds(): Undo {
    const { fleet, budget } = this.#settings;
    const ids = fleet.present.map(idOf);
    const inTrouble = ids.filter(budget.isLost, budget);
    const seeds = [...new Set([...inTrouble, ...ids.toReversed()])];
    fleet.setSeeds(seeds.slice(0, fleet.seeds.length));
    return noUndo;
  }

  #loseAnswers(share: number): Undo {
    const { settled, loseAnswers } = this.#settings;
    settled.beginUnsteady();
    loseAnswers(share);
    function undo(): void {
      loseAnswers(0);
      settled.endUnsteady();
    }
    return undo;
  }

  #beginAgent(kind: 'agentKill' | 'agentFreeze' | 'agentCut', place: number): Undo {
    const { fleet } = this.#settings;
    const agent = fleet.agents[place % Math.max(1, fleet.agents.length)];
    if (!agent) return noUndo;
    if (kind === 'agentCut') return this.#links.cutAgent(agent.id);
    if (kind === 'agentFreeze') {
      agent.process.freeze();
      return () => agent.process.thaw();
    }
    agent.kill();
    function start(): void {
      agent?.start(fleet.seeds);
    }
    return start;
  }
}

function noUndo(): void {
  /* There is nothing to undo. */
}

function idOf(node: ControlNode): string {
  return node.id;
}
