import type { ControlNode } from './control-node.js';
import { toleratedOf } from './options.js';
import type { SimulationOptions } from './options.js';
import type { Fault, FaultKind, Schedule, Target, When } from './faults.js';
import type { FaultTargets } from './fault-targets.js';
import { LinkFaults } from './link-faults.js';
import { MachineFaults, type FaultSurroundings, type Undo } from './machine-faults.js';

/** How often faults of each kind struck; nothing for those that never did. */
export type FaultCounts = Partial<Record<FaultKind, number>>;

export interface FaultDriverSettings extends FaultSurroundings {
  readonly options: SimulationOptions;
  readonly targets: FaultTargets;
  readonly operators: readonly string[];
  /** What share of answers to operators is lost from now on. */
  readonly loseAnswers: (share: number) => void;
  /** True time at which all trouble ends. */
  readonly endsAt: number;
  readonly log: (line: string) => void;
}

/** A fault that would lose too much waits its turn, at most so long. */
const RETRY_MS = 250;
const MOST_WAIT_MS = 10_000;
/** A fault whose event does not come strikes so long after it began to wait for it. */
const MOST_EVENT_WAIT_MS = 3000;

/**
 * Carries out a schedule: each fault when it is due, or right after the event it waits for, on the machine
 * that its target names then; within the losses that the run allows. All are taken back at the end.
 */
export class FaultDriver {
  readonly #settings: FaultDriverSettings;
  readonly #machines: MachineFaults;
  readonly #links: LinkFaults;
  readonly #open = new Set<Undo>();
  #hasEnded = false;
  readonly #struck: FaultCounts = {};

  constructor(settings: FaultDriverSettings) {
    this.#settings = settings;
    this.#machines = new MachineFaults(settings);
    this.#links = new LinkFaults(settings);
  }

  /** How many faults of each kind have struck. */
  get struckByKind(): FaultCounts {
    return this.#struck;
  }

  begin(schedule: Schedule): void {
    for (const fault of schedule) this.#plan(fault);
    const { after, endsAt, now } = this.#settings;
    after(endsAt - now(), () => this.#end());
  }

  #plan(fault: Fault): void {
    const { after, now } = this.#settings;
    const { when } = fault;
    const due = (about: string) => this.#due(fault, about);
    if (when.kind === 'at') {
      after(when.at - now(), () => due(''));
      return;
    }
    after(when.from - now(), () => this.#await(fault, when));
  }

  /** Whichever comes first: its event, or the end of the wait for it. */
  #await(fault: Fault, when: Extract<When, { kind: 'after' }>): void {
    const { after, events } = this.#settings;
    const due = (about: string) => this.#due(fault, about);
    let isDue = false;
    function once(about: string): void {
      if (isDue) return;
      isDue = true;
      after(when.delay, () => due(about));
    }
    events.once(when.event, once);
    after(MOST_EVENT_WAIT_MS, () => once(''));
  }

  #due(fault: Fault, about: string): void {
    this.#strike(fault, about, this.#settings.now() + MOST_WAIT_MS);
  }

  #strike(fault: Fault, about: string, until: number): void {
    const { now, after, log } = this.#settings;
    if (this.#hasEnded) return;
    const undo = this.#begin(fault, about);
    if (undo === undefined) {
      if (now() < until) after(RETRY_MS, () => this.#strike(fault, about, until));
      return;
    }
    this.#struck[fault.kind] = (this.#struck[fault.kind] ?? 0) + 1;
    log(`fault ${JSON.stringify(fault)}`);
    this.#open.add(undo);
    const span = 'forMs' in fault ? fault.forMs : 0;
    after(span, () => this.#takeBack(undo, fault));
  }

  #takeBack(undo: Undo, fault: Fault): void {
    if (!this.#open.delete(undo)) return;
    this.#settings.log(`end of ${fault.kind}`);
    undo();
  }

  #end(): void {
    this.#hasEnded = true;
    this.#settings.log('all trouble ends');
    const open = [...this.#open];
    this.#open.clear();
    for (const undo of open) undo();
    this.#settings.settled.disturb();
  }

  /** Begins a fault; nothing where it would lose too much at this moment. */
  #begin(fault: Fault, about: string): Undo | undefined {
    switch (fault.kind) {
      case 'killAll':
        return this.#machines.killAll();
      case 'powerLossAll':
        return this.#machines.losePowerAll(fault.unsynced);
      case 'seedTurnover':
        return this.#turnSeeds();
      case 'answersLost':
        return this.#loseAnswers(fault.share);
      case 'agentKill':
      case 'agentFreeze':
      case 'agentCut':
        return this.#beginAgent(fault.kind, fault.agent);
      default:
        return this.#beginAimed(fault, fault.target, about);
    }
  }

  #beginAimed(fault: Fault, target: Target, about: string): Undo | undefined {
    const node = this.#settings.targets.find(target, about);
    if (!node) return undefined;
    return this.#beginCall(fault, node) ?? this.#beginLoss(fault, node);
  }

  /** Faults that lose no machine. */
  #beginCall(fault: Fault, node: ControlNode): Undo | undefined {
    const { operators } = this.#settings;
    switch (fault.kind) {
      case 'resets':
        this.#links.reset(node, fault.share);
        return nothing;
      case 'clockRate':
        node.process.setRate(fault.rate);
        return nothing;
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
    const besides = fault.kind === 'cut' ? targets.beside(node, fault.besides) : [];
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
        return this.#machines.oldDisk(node, fault.ageMs);
      default:
        return undefined;
    }
  }

  #leave(node: ControlNode, isPlanned: boolean): Undo | undefined {
    const { budget, fleet, options } = this.#settings;
    const isEnough = toleratedOf(options.nodes) + 1 < fleet.present.length;
    if (!budget.mayLeave() || !isEnough) return undefined;
    this.#machines.leave(node, isPlanned);
    return nothing;
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

  /** Settings name one that is not a voter's first choice: the newest machines, or one in trouble, first. */
  #turnSeeds(): Undo {
    const { fleet, budget } = this.#settings;
    const ids = fleet.present.map(idOf);
    const inTrouble = ids.filter(budget.isLost, budget);
    const seeds = [...new Set([...inTrouble, ...ids.toReversed()])];
    fleet.setSeeds(seeds.slice(0, fleet.seeds.length));
    return nothing;
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
    if (!agent) return nothing;
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

function nothing(): void {
  /* Nothing to take back. */
}

function idOf(node: ControlNode): string {
  return node.id;
}
