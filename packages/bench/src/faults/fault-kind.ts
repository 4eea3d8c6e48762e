/** Kinds of faults of the `faults` command, and the planning of fault schedules from a seed. */
import { Random } from '@poplarpick/load';

/** Kinds of faults. */
export enum FaultKind {
  LinkLatency = 'link-latency',
  LinkDrip = 'link-drip',
  LinkCut = 'link-cut',
  LinkReset = 'link-reset',
  LinkHalfOpen = 'link-half-open',
  LinkSilence = 'link-silence',
  LinkSilenceToRouter = 'link-silence-to-router',
  LinkSilenceToSidecar = 'link-silence-to-sidecar',
  /** Silences the links between one sidecar group and all routers. */
  PartitionGroup = 'partition-group',
  KillRouter = 'kill-router',
  KillSidecar = 'kill-sidecar',
  PauseRouter = 'pause-router',
  PauseSidecar = 'pause-sidecar',
  /** Pauses the process for longer than every timeout of the fleet. */
  LongPauseRouter = 'long-pause-router',
  LongPauseSidecar = 'long-pause-sidecar',
  EndpointCut = 'endpoint-cut',
  EndpointReset = 'endpoint-reset',
  EndpointHalfOpen = 'endpoint-half-open',
  EndpointLatency = 'endpoint-latency',
  EndpointDrip = 'endpoint-drip',
  ConfigurationDown = 'configuration-down',
  CallersGone = 'callers-gone',
}

/** How the faults of a schedule are combined. */
export enum FaultMode {
  Single = 'single',
  /** Two faults of different kinds that overlap. */
  Concurrent = 'together',
  /** The same kind twice, one after the other. */
  Repeated = 'twice',
}

/** One fault of a schedule. */
export interface PlannedFault {
  kind: FaultKind;
  /** Milliseconds from the start of the schedule. */
  startMs: number;
  durationMs: number;
  /** Index of the affected process or link, modulo the number of candidates of the kind. */
  targetIndex: number;
}

/** The faults of one schedule. */
export interface FaultSchedule {
  index: number;
  mode: FaultMode;
  faults: PlannedFault[];
}

/** Longer than every timeout and grace period of the fleet. */
const LONG_PAUSE_MS = 10_500;
const MAX_PAUSE_MS = 3_000;
const MAX_FAULT_MS = 2_500;
const MIN_FAULT_MS = 100;
const MAX_START_MS = 600;
const MAX_BREAK_MS = 800;

const LONG_PAUSES = new Set([FaultKind.LongPauseRouter, FaultKind.LongPauseSidecar]);
const PAUSES = new Set([FaultKind.PauseRouter, FaultKind.PauseSidecar]);

/**
 * Plans a schedule; the result depends only on the seed and the index. Consecutive indices cycle through
 * the modes, and through the kinds after every full cycle of modes.
 */
export function planFaultSchedule(seed: number, index: number): FaultSchedule {
  const random = new Random(deriveSeed(seed, index));
  const modes = Object.values(FaultMode);
  const kinds = Object.values(FaultKind);
  const mode = modes[index % modes.length] ?? FaultMode.Single;
  const kind = kinds[Math.floor(index / modes.length) % kinds.length] ?? FaultKind.LinkCut;
  const first = planFault(random, kind, random.integer(MAX_START_MS));
  if (mode === FaultMode.Single) return { index, mode, faults: [first] };
  if (mode === FaultMode.Concurrent) {
    const other = random.pick(kinds.filter((entry) => entry !== kind));
    const startMs = first.startMs + random.integer(first.durationMs);
    return { index, mode, faults: [first, planFault(random, other, startMs)] };
  }
  const startMs = first.startMs + first.durationMs + random.integer(MAX_BREAK_MS);
  return { index, mode, faults: [first, planFault(random, kind, startMs)] };
}

/** Derives the seed of one random sequence; hashing keeps neighbouring indices from starting alike. */
export function deriveSeed(seed: number, index: number): number {
  const mixed = Math.imul(seed + 1, 0x9e3779b1) ^ Math.imul(index + 1, 0x85ebca6b);
  return Math.imul(mixed ^ (mixed >>> 15), 0xc2b2ae35);
}

function planFault(random: Random, kind: FaultKind, startMs: number): PlannedFault {
  const maxDurationMs = PAUSES.has(kind) ? MAX_PAUSE_MS : MAX_FAULT_MS;
  const randomDurationMs = MIN_FAULT_MS + random.integer(maxDurationMs - MIN_FAULT_MS);
  const durationMs = LONG_PAUSES.has(kind) ? LONG_PAUSE_MS : randomDurationMs;
  return { kind, startMs, durationMs, targetIndex: random.integer(1_000) };
}
